"""Faults of real processes, checked against the records of workers and targets."""

import json
import signal
import time

import pytest

from plantainhinge.adapters.log_http import HttpLog
from plantainhinge.core.ids import Offset
from plantainhinge.core.records import ConfigurationPublished, decode_batch
from plantainhinge.streams.names import CONFIGURATION_STREAM
from standins.callers import call_repeatedly
from standins.checks import find_overlaps, list_attempts
from standins.demonstration import EXAMPLE
from standins.keys import make_key
from standins.site import wait_until

from .sites import look_up

pytestmark = pytest.mark.processes

OPERATORS = 5
TAKE_OUT_SECONDS_MAX = 3.0
REFUSAL_SECONDS_MAX = 6.0


def send_purchase(caller, number):
    path = f"/licences/order-{number}"
    key = make_key(time.time())
    return caller.call("POST", path, kind="purchase", key=key, body=b"{}")


def submit(site, job, *, run_seconds, entry=0):
    body = json.dumps({"id": job, "kind": "audit", "run_seconds": run_seconds})
    return site.call(entry, "POST", "/jobs", body=body.encode())


def read_state(site, job, entry=1):
    return json.loads(site.call(entry, "GET", f"/jobs/{job}").body).get("state")


def list_job_attempts(site, job):
    """Return the attempts of a job that the workers recorded, ordered by start."""
    return list_attempts(site.read_reports(), job)


def count_executions(site):
    """Return how many times targets executed each purchase, by path."""
    executions = {}
    for report in site.read_reports():
        for request in report.requests:
            if request.method == "POST":
                executions[request.path] = executions.get(request.path, 0) + 1
    return executions


def wait_until_running(site, job):
    wait_until("the job runs", lambda: bool(list_job_attempts(site, job)))


def test_purchases_are_reported_correctly_when_a_gateway_is_killed(site):
    entries = [f"{ip}:8080" for ip in site.entries]
    with call_repeatedly(entries, send_purchase, callers=4) as results:
        wait_until("purchases are answered", lambda: len(results) > 20)
        site.send_signal("entry-1-gateway", signal.SIGKILL)
        site.wait_for_exit("entry-1-gateway")
        seen = len(results)
        wait_until(
            "the other gateway answers purchases", lambda: len(results) > seen + 20
        )
    executions = count_executions(site)
    assert [path for path, count in executions.items() if count > 1] == []
    not_run = [t.path for t in results if t.outcome == "not-run"]
    assert [path for path in not_run if path in executions] == []
    done = [t.path for t in results if t.outcome == "done"]
    assert [path for path in done if executions.get(path, 0) != 1] == []


def test_job_finishes_once_after_its_scheduler_is_killed(site):
    assert submit(site, "audit-k", run_seconds=6.0).status == 202
    wait_until_running(site, "audit-k")
    domain = find_domain(site, list_job_attempts(site, "audit-k")[0].worker)
    victim = site.find_owner(f"cell.{domain}")
    site.send_signal(victim, signal.SIGKILL)
    site.wait_for_exit(victim)
    wait_until("the job finishes", lambda: read_state(site, "audit-k") == "finished")
    attempts = list_job_attempts(site, "audit-k")
    assert [seen.outcome.value for seen in attempts].count("finished") == 1
    assert find_overlaps(site.read_reports()) == []


def test_scheduler_suspended_past_its_lease_starts_no_task_twice(site):
    jobs = [f"audit-f{n}" for n in range(4)]
    for job in jobs:
        assert submit(site, job, run_seconds=4.0).status == 202
    wait_until_running(site, jobs[0])
    domain = find_domain(site, list_job_attempts(site, jobs[0])[0].worker)
    stream = f"cell.{domain}"
    victim = site.find_owner(stream)
    site.send_signal(victim, signal.SIGSTOP)
    other = next(n for n in ("entry-1", "entry-2") if not victim.startswith(n))
    wait_until(
        "the stream is taken over",
        lambda: site.find_owner(stream).startswith(other),
    )
    site.send_signal(victim, signal.SIGCONT)
    wait_until(
        "all jobs finish",
        lambda: all(read_state(site, job) == "finished" for job in jobs),
    )
    for job in jobs:
        attempts = list_job_attempts(site, job)
        outcomes = [seen.outcome.value for seen in attempts]
        assert (job, outcomes.count("finished")) == (job, 1)
    assert find_overlaps(site.read_reports()) == []


def find_domain(site, worker):
    return next(row.domain for row in site.instance_list if row.instance == worker)


def test_lookups_succeed_while_the_log_is_suspended(site):
    entries = [f"{ip}:8080" for ip in site.entries]
    site.send_signal("log", signal.SIGSTOP)
    refused_since = time.monotonic()
    wait_until(
        "jobs are refused", lambda: submit(site, "never", run_seconds=1.0).status == 503
    )
    with call_repeatedly(entries, look_up, callers=2) as results:
        started = time.monotonic()
        answers = [
            submit(site, "late-job", run_seconds=1.0),
            site.call(
                0, "POST", "/licences/late", kind="purchase", key=make_key(time.time())
            ),
        ]
        elapsed = time.monotonic() - started
        wait_until("lookups are answered", lambda: len(results) > 200)
    assert [(a.status, a.outcome, bool(a.retry_after)) for a in answers] == [
        (503, "not-run", True)
    ] * 2
    assert elapsed < REFUSAL_SECONDS_MAX
    assert refused_since < started
    assert {t.outcome for t in results} == {"done"}
    site.send_signal("log", signal.SIGCONT)
    wait_until(
        "jobs are accepted",
        lambda: submit(site, "after", run_seconds=0.1).status == 202,
    )
    wait_until("the job finishes", lambda: read_state(site, "after") == "finished")
    assert list_job_attempts(site, "late-job") == []
    assert "/licences/late" not in count_executions(site)


def test_no_task_starts_in_a_domain_after_it_was_taken_out(site):
    edited = site.folder / "edited.jsonc"
    text = EXAMPLE.read_text(encoding="utf-8")
    marker = '"scot-b": { "region": "scotland", "state": "in" }'
    edited.write_text(text.replace(marker, marker.replace('"in"', '"out"')))
    number = 0

    def submit_next(caller, count):
        nonlocal number
        number += 1
        body = json.dumps({"id": f"d-{count}", "kind": "audit", "run_seconds": 0.3})
        time.sleep(0.1)
        return caller.call("POST", "/jobs", kind="", body=body.encode())

    def list_starts():
        return [
            seen.started_at
            for report in site.read_reports()
            if find_domain(site, report.worker) == "scot-b"
            for seen in report.attempts
        ]

    entries = [f"{ip}:8080" for ip in site.entries]
    with call_repeatedly(entries, submit_next, callers=2) as results:
        wait_until("jobs start there", lambda: len(list_starts()) > 2)
        assert "accepted" in site.apply(edited)
        applied = time.time()
        wait_until(
            "jobs are accepted after the time limit",
            lambda: (
                time.time() > applied + TAKE_OUT_SECONDS_MAX + 3
                and sum(t.status == 202 for t in results if t.at > applied) > 10
            ),
        )
        late = [at for at in list_starts() if at > applied + TAKE_OUT_SECONDS_MAX]
        site.apply(EXAMPLE)
        back = time.time()
        wait_until(
            "jobs start there again", lambda: any(at > back for at in list_starts())
        )
    assert late == []


def read_publications(site):
    """Map each published document to whether it was based on the newest revision.

    The rule is implemented here independently, so that a fault in replay is detected.
    """
    log = HttpLog(f"{site.platform}:9100")
    newest, accepted_documents = 0, {}
    for entry in log.read(CONFIGURATION_STREAM, Offset(0), 1_000_000).entries:
        for record in decode_batch(entry.data).records:
            if isinstance(record, ConfigurationPublished):
                accepted_documents[record.document] = record.based_on == newest
                newest = (
                    entry.offset + 1 if accepted_documents[record.document] else newest
                )
    return accepted_documents


def test_concurrent_applies_report_the_outcome_in_the_log(site):
    documents = {}
    settings = str(site.folder / "entry-1.jsonc")
    for number in range(OPERATORS):
        path = site.folder / f"operator-{number}.jsonc"
        path.write_text(EXAMPLE.read_text(encoding="utf-8") + f"// {number}\n")
        documents[number] = path
    site.send_signal("log", signal.SIGSTOP)
    commands = {
        number: site.start_command("apply", str(path), "--settings", settings)
        for number, path in documents.items()
    }
    time.sleep(1.0)
    site.send_signal("log", signal.SIGCONT)
    codes = {number: command.wait(60) for number, command in commands.items()}
    accepted_documents = read_publications(site)
    for number, code in codes.items():
        accepted = accepted_documents.get(documents[number].read_text(), False)
        assert (number, code) == (number, 0 if accepted else 3)


def test_task_of_a_suspended_worker_resumes_only_after_its_lease(site):
    assert submit(site, "audit-w", run_seconds=8.0).status == 202
    wait_until_running(site, "audit-w")
    worker = list_job_attempts(site, "audit-w")[0].worker
    site.send_signal(worker, signal.SIGSTOP)
    wait_until(
        "the task runs on another worker",
        lambda: any(
            attempt.worker != worker for attempt in list_job_attempts(site, "audit-w")
        ),
    )
    site.send_signal(worker, signal.SIGCONT)
    wait_until("the job finishes", lambda: read_state(site, "audit-w") == "finished")
    wait_until(
        "the resumed worker reports",
        lambda: worker in {report.worker for report in site.read_reports()},
    )
    attempts = list_job_attempts(site, "audit-w")
    assert len(attempts) == 2
    assert find_overlaps(site.read_reports()) == []

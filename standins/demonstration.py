"""Demonstration of the main functions on a small site, with printed results.

It sends lookups, repeats a purchase, runs jobs and takes a failure domain out and
back, and checks the guarantees against what workers and targets recorded.
"""

import json
import time
from pathlib import Path

from .callers import Caller, CallResult, call_repeatedly
from .checks import (
    find_finished_twice,
    find_late_starts,
    find_overlaps,
    list_attempts,
    list_executions,
)
from .keys import make_key
from .site import CALLERS_PORT, CallerReply, Site, wait_until

EXAMPLE = Path(__file__).parent.parent / "examples" / "small.jsonc"
DOMAIN = "scot-b"
LOOKUPS = 20
STATUS_OK = 200
STATUS_ACCEPTED = 202
TAKE_OUT_SECONDS_MAX = 3.0
OUT_SECONDS = 8.0
BACK_SECONDS = 2.0


def run_demonstration(site: Site, *, keep: bool) -> int:
    """Run all steps once; return the number of violated guarantees.

    With ``keep``, the site then stays up until it is interrupted.
    """
    violations: list[str] = []
    print("apply:", site.apply(EXAMPLE))
    wait_until("all gateways answer lookups", lambda: _all_gateways_answer(site))
    _run_lookups(site, violations)
    key = _repeat_purchase(site, violations)
    job = _run_job(site, violations)
    _take_domain_out_and_back(site, violations)
    _check_tasks(site, violations)
    print(f"\ntimeline of job {job}:\n{site.show_timeline(job)}")
    print(f"\ntimeline of purchase {key}:\n{site.show_timeline(key)}")
    print(f"\nstatus:\n{site.show_status()}\n")
    for violation in violations:
        print("VIOLATED:", violation)
    print(
        "all guarantees held"
        if not violations
        else f"{len(violations)} guarantees violated"
    )
    if keep:
        _wait_for_interrupt(site)
    return len(violations)


def _send_lookup(site: Site, entry: int) -> CallerReply:
    return site.call(entry, "GET", "/formulas/7", kind="lookup")


def _all_gateways_answer(site: Site) -> bool:
    entries = range(len(site.entries))
    return all(_send_lookup(site, entry).status == STATUS_OK for entry in entries)


def _run_lookups(site: Site, violations: list[str]) -> None:
    replies = [_send_lookup(site, n % len(site.entries)) for n in range(LOOKUPS)]
    done = sum(reply.outcome == "done" for reply in replies)
    print(f"lookups: {done} of {LOOKUPS} done")
    if done != LOOKUPS:
        violations.append(f"{LOOKUPS - done} lookups were not answered")


def _repeat_purchase(site: Site, violations: list[str]) -> str:
    key = make_key(time.time())
    path = f"/licences/{key}"
    replies = [
        site.call(n, "POST", path, kind="purchase", key=key, body=b"{}")
        for n in range(2)
    ]
    for reply in replies:
        print(f"purchase {key}: {reply.status} {reply.outcome}")
    executions = len(list_executions(site.read_reports(), path))
    print(f"purchase {key}: targets executed it {executions} time(s)")
    if executions != 1 or replies[0].outcome != "done":
        violations.append(f"a purchase ran {executions} times")
    if replies[1].outcome == "not-run":
        violations.append("a purchase that ran was reported as not run")
    return key


def _run_job(site: Site, violations: list[str]) -> str:
    job = "audit-1"
    reply = _submit(site, job, run_seconds=1.5)
    print(f"job {job}: {reply.status} {_read_state(site, job)}")
    if reply.status != STATUS_ACCEPTED:
        violations.append("a job was not accepted")
        return job
    wait_until("the job ends", lambda: _read_state(site, job) == "finished")
    finished = [a for a in list_attempts(site.read_reports(), job) if a.outcome]
    print(f"job {job}: finished on {', '.join(a.worker for a in finished)}")
    if len(finished) != 1:
        violations.append(f"job {job} ran {len(finished)} times")
    return job


def _submit(site: Site, job: str, *, run_seconds: float) -> CallerReply:
    body = json.dumps({"id": job, "kind": "audit", "run_seconds": run_seconds})
    return site.call(0, "POST", "/jobs", body=body.encode())


def _read_state(site: Site, job: str) -> str:
    reply = site.call(1, "GET", f"/jobs/{job}")
    return str(json.loads(reply.body).get("state", ""))


def _take_domain_out_and_back(site: Site, violations: list[str]) -> None:
    jobs = [f"audit-{n}" for n in range(10, 18)]
    for job in jobs:
        _submit(site, job, run_seconds=4.0)
    wait_until(
        "jobs run", lambda: all(list_attempts(site.read_reports(), job) for job in jobs)
    )
    print(f"{DOMAIN} out:", site.change_domain("take-out", DOMAIN))
    out_at = time.time()
    _check_lookups(site, violations, seconds=OUT_SECONDS)
    back_at = time.time()
    print(f"{DOMAIN} back:", site.change_domain("bring-back", DOMAIN))
    _check_lookups(site, violations, seconds=BACK_SECONDS)
    wait_until(
        "all jobs end", lambda: all(_read_state(site, j) == "finished" for j in jobs)
    )
    late = find_late_starts(
        site.read_reports(),
        site.list_workers(DOMAIN),
        after=out_at + TAKE_OUT_SECONDS_MAX,
        until=back_at,
    )
    print(f"jobs during the change: {len(jobs)} of {len(jobs)} finished")
    print(f"starts in {DOMAIN} later than {TAKE_OUT_SECONDS_MAX:.0f} s: {len(late)}")
    if late:
        violations.append(f"{len(late)} tasks started in a domain that was out")


def _check_lookups(site: Site, violations: list[str], *, seconds: float) -> None:
    entries = [f"{ip}:{CALLERS_PORT}" for ip in site.entries]
    with call_repeatedly(entries, _call_lookup, callers=2) as results:
        time.sleep(seconds)
    outcomes = {r.outcome or r.failure for r in results}
    counts = {o: sum((r.outcome or r.failure) == o for r in results) for o in outcomes}
    print(f"lookups during the change: {counts}")
    if outcomes - {"done", "not-run"}:
        violations.append(f"lookups during a change of domains: {counts}")


def _call_lookup(caller: Caller, number: int) -> CallResult:
    return caller.call("GET", f"/formulas/{number}", kind="lookup")


def _check_tasks(site: Site, violations: list[str]) -> None:
    reports = site.read_reports()
    overlaps, doubled = find_overlaps(reports), find_finished_twice(reports)
    print(f"tasks in two places at once: {len(overlaps)}; run twice: {len(doubled)}")
    violations.extend(f"task {task} ran in two places at once" for task in overlaps)
    violations.extend(f"task {task} ran twice" for task in doubled)


def _wait_for_interrupt(site: Site) -> None:
    address = f"http://{site.entries[0]}:{CALLERS_PORT}"
    print(f"callers: {address}; settings: {site.folder}; Ctrl-C ends")
    try:
        while True:
            time.sleep(1.0)
    except KeyboardInterrupt:
        print("stopping")

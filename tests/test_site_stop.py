"""Planned stops of real daemons, with requests in flight."""

import json
import signal
import threading
import time

import pytest

from standins.callers import Caller, call_repeatedly
from standins.keys import make_key
from standins.site import wait_until

from .sites import look_up

pytestmark = pytest.mark.processes

SLOW_MS = 1500
CALLERS = 6


def list_cut_off(told):
    """Return the answers that break the promise of a graceful stop."""
    whole = {"done", "not-run"}
    return [t for t in told if t.failure or t.outcome not in whole]


def test_a_gateway_that_stops_cuts_off_no_request(site):
    entries = [f"{ip}:8080" for ip in site.entries]
    slow = []

    def buy():
        path = f"/licences/slow-1?service_ms={SLOW_MS}"
        caller = Caller(entries)
        slow.append(
            caller.call(
                "POST", path, kind="purchase", key=make_key(time.time()), body=b"{}"
            )
        )

    with call_repeatedly(entries, look_up, callers=CALLERS) as told:
        buyer = threading.Thread(target=buy)
        buyer.start()
        wait_until("lookups run", lambda: len(told) > 50)
        site.send_signal("entry-1-gateway", signal.SIGTERM)
        code = site.wait_for_exit("entry-1-gateway")
        buyer.join()
        seen = len(told)
        wait_until("the other entry answers", lambda: len(told) > seen + 50)
    assert code == 0
    assert [t.outcome for t in slow] == ["done"]
    assert list_cut_off(told) == []


def test_a_gateway_is_unready_while_it_still_answers(site):
    address = site.entries[0]
    entries = [f"{address}:8080"]
    states = []
    with call_repeatedly(entries, look_up, callers=1) as told:
        wait_until("lookups run", lambda: len(told) > 10)
        site.send_signal("entry-1-gateway", signal.SIGTERM)
        wait_until(
            "unready while it answers",
            lambda: site.call(0, "GET", "/readyz").status == 503,
        )
        states.append(look_up(Caller(entries), 0).outcome)
    assert states == ["done"]
    assert site.wait_for_exit("entry-1-gateway") == 0


def test_schedulers_that_stop_one_after_the_other_lose_no_job(site):
    accepted, unclear = [], []

    def submit(caller, number):
        body = json.dumps({"id": f"j-{number}", "kind": "audit", "run_seconds": 0.1})
        told = caller.call("POST", "/jobs", kind="", body=body.encode())
        (accepted if told.status == 202 else unclear).append((f"j-{number}", told))
        return told

    entries = [f"{ip}:8080" for ip in site.entries]
    with call_repeatedly(entries, submit, callers=2):
        wait_until("jobs are accepted", lambda: len(accepted) > 4)
        site.send_signal("entry-1-scheduler", signal.SIGTERM)
        code = site.wait_for_exit("entry-1-scheduler")
        before = len(accepted)
        wait_until("jobs are accepted again", lambda: len(accepted) > before + 4)
    assert code == 0
    assert [told for _, told in unclear if told.outcome != "not-run"] == []
    wait_until(
        "all jobs finish",
        lambda: all(read_state(site, job) == "finished" for job, _ in accepted),
    )
    starts = count_starts(site)
    assert [job for job, _ in accepted if starts.get(job, 0) != 1] == []
    assert [job for job, _ in unclear if starts.get(job, 0)] == []


def read_state(site, job):
    return json.loads(site.call(1, "GET", f"/jobs/{job}").body).get("state")


def count_starts(site):
    starts = {}
    for report in site.read_reports():
        for seen in report.attempts:
            starts[seen.task] = starts.get(seen.task, 0) + 1
    return starts

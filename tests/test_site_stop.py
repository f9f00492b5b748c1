"""Graceful stops of real daemons with requests in flight."""

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

SLOW_SERVICE_MS = 1500
CALLERS = 6


def list_failed(results):
    """Return the results that a graceful stop must not cause."""
    expected = {"done", "not-run"}
    return [t for t in results if t.failure or t.outcome not in expected]


def test_stopping_gateway_completes_all_requests(site):
    entries = [f"{ip}:8080" for ip in site.entries]
    purchase_results = []

    def send_slow_purchase():
        path = f"/licences/slow-1?service_ms={SLOW_SERVICE_MS}"
        caller = Caller(entries)
        purchase_results.append(
            caller.call(
                "POST", path, kind="purchase", key=make_key(time.time()), body=b"{}"
            )
        )

    with call_repeatedly(entries, look_up, callers=CALLERS) as results:
        purchase_thread = threading.Thread(target=send_slow_purchase)
        purchase_thread.start()
        wait_until("lookups are answered", lambda: len(results) > 50)
        site.send_signal("entry-1-gateway", signal.SIGTERM)
        code = site.wait_for_exit("entry-1-gateway")
        purchase_thread.join()
        seen = len(results)
        wait_until("the other gateway answers", lambda: len(results) > seen + 50)
    assert code == 0
    assert [t.outcome for t in purchase_results] == ["done"]
    assert list_failed(results) == []


def test_stopping_gateway_is_unready_while_it_still_responds(site):
    address = site.entries[0]
    entries = [f"{address}:8080"]
    states = []
    with call_repeatedly(entries, look_up, callers=1) as results:
        wait_until("lookups are answered", lambda: len(results) > 10)
        site.send_signal("entry-1-gateway", signal.SIGTERM)
        wait_until(
            "the gateway is unready",
            lambda: site.call(0, "GET", "/readyz").status == 503,
        )
        states.append(look_up(Caller(entries), 0).outcome)
    assert states == ["done"]
    assert site.wait_for_exit("entry-1-gateway") == 0


def test_stopping_scheduler_loses_no_job(site):
    accepted, unclear = [], []

    def submit(caller, number):
        body = json.dumps({"id": f"j-{number}", "kind": "audit", "run_seconds": 0.1})
        results = caller.call("POST", "/jobs", kind="", body=body.encode())
        (accepted if results.status == 202 else unclear).append(
            (f"j-{number}", results)
        )
        return results

    entries = [f"{ip}:8080" for ip in site.entries]
    with call_repeatedly(entries, submit, callers=2):
        wait_until("jobs are accepted", lambda: len(accepted) > 4)
        site.send_signal("entry-1-scheduler", signal.SIGTERM)
        code = site.wait_for_exit("entry-1-scheduler")
        before = len(accepted)
        wait_until("jobs are accepted again", lambda: len(accepted) > before + 4)
    assert code == 0
    assert [results for _, results in unclear if results.outcome != "not-run"] == []
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

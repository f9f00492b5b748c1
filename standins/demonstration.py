"""The main job of the demonstration site, told step by step."""

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
    """Run the whole path once; return how many promises broke."""
    broken: list[str] = []
    print("apply:", site.apply(EXAMPLE))
    wait_until("all gateways answer lookups", lambda: _all_gateways_answer(site))
    _run_lookups(site, broken)
    key = _repeat_purchase(site, broken)
    job = _run_job(site, broken)
    _take_domain_out_and_back(site, broken)
    _check_tasks(site, broken)
    print(f"\ntime line of job {job}:\n{site.show_timeline(job)}")
    print(f"\ntime line of purchase {key}:\n{site.show_timeline(key)}")
    print(f"\nstatus:\n{site.show_status()}\n")
    for promise in broken:
        print("BROKEN:", promise)
    print("all promises held" if not broken else f"{len(broken)} promises broken")
    if keep:
        _wait_for_interrupt(site)
    return len(broken)


def _lookup(site: Site, entry: int) -> CallerReply:
    return site.call(entry, "GET", "/formulas/7", kind="lookup")


def _all_gateways_answer(site: Site) -> bool:
    entries = range(len(site.entries))
    return all(_lookup(site, entry).status == STATUS_OK for entry in entries)


def _run_lookups(site: Site, broken: list[str]) -> None:
    replies = [_lookup(site, n % len(site.entries)) for n in range(LOOKUPS)]
    done = sum(reply.outcome == "done" for reply in replies)
    print(f"lookups: {done} of {LOOKUPS} done")
    if done != LOOKUPS:
        broken.append(f"{LOOKUPS - done} lookups were not answered")


def _repeat_purchase(site: Site, broken: list[str]) -> str:
    key = make_key(time.time())
    path = f"/licences/{key}"
    replies = [
        site.call(n, "POST", path, kind="purchase", key=key, body=b"{}")
        for n in range(2)
    ]
    for reply in replies:
        print(f"purchase {key}: {reply.status} {reply.outcome}")
    runs = len(list_executions(site.read_reports(), path))
    print(f"purchase {key}: targets ran it {runs} time(s)")
    if runs != 1 or replies[0].outcome != "done":
        broken.append(f"a purchase ran {runs} times")
    if replies[1].outcome == "not-run":
        broken.append("a purchase that ran was called not run")
    return key


def _run_job(site: Site, broken: list[str]) -> str:
    job = "audit-1"
    reply = _submit(site, job, run_seconds=1.5)
    print(f"job {job}: {reply.status} {_read_state(site, job)}")
    if reply.status != STATUS_ACCEPTED:
        broken.append("a job was not accepted")
        return job
    wait_until("the job ends", lambda: _read_state(site, job) == "finished")
    finished = [s for s in list_attempts(site.read_reports(), job) if s.outcome]
    print(f"job {job}: finished on {', '.join(s.worker for s in finished)}")
    if len(finished) != 1:
        broken.append(f"job {job} ran {len(finished)} times")
    return job


def _submit(site: Site, job: str, *, run_seconds: float) -> CallerReply:
    body = json.dumps({"id": job, "kind": "audit", "run_seconds": run_seconds})
    return site.call(0, "POST", "/jobs", body=body.encode())


def _read_state(site: Site, job: str) -> str:
    reply = site.call(1, "GET", f"/jobs/{job}")
    return str(json.loads(reply.body).get("state", ""))


def _take_domain_out_and_back(site: Site, broken: list[str]) -> None:
    jobs = [f"audit-{n}" for n in range(10, 18)]
    for job in jobs:
        _submit(site, job, run_seconds=4.0)
    wait_until(
        "jobs run", lambda: all(list_attempts(site.read_reports(), job) for job in jobs)
    )
    print(f"{DOMAIN} out:", site.change_domain("take-out", DOMAIN))
    out_at = time.time()
    _check_lookups(site, broken, seconds=OUT_SECONDS)
    back_at = time.time()
    print(f"{DOMAIN} back:", site.change_domain("bring-back", DOMAIN))
    _check_lookups(site, broken, seconds=BACK_SECONDS)
    wait_until(
        "all jobs end", lambda: all(_read_state(site, j) == "finished" for j in jobs)
    )
    late = find_late_starts(
        site.read_reports(),
        site.list_workers(DOMAIN),
        after=out_at + TAKE_OUT_SECONDS_MAX,
        until=back_at,
    )
    print(f"jobs through the change: {len(jobs)} of {len(jobs)} finished")
    print(f"starts in {DOMAIN} later than {TAKE_OUT_SECONDS_MAX:.0f} s: {len(late)}")
    if late:
        broken.append(f"{len(late)} tasks started in a domain that was out")


def _check_lookups(site: Site, broken: list[str], *, seconds: float) -> None:
    entries = [f"{ip}:{CALLERS_PORT}" for ip in site.entries]
    with call_repeatedly(entries, _look_up, callers=2) as told:
        time.sleep(seconds)
    outcomes = {t.outcome or t.failure for t in told}
    counts = {o: sum((t.outcome or t.failure) == o for t in told) for o in outcomes}
    print(f"lookups meanwhile: {counts}")
    if outcomes - {"done", "not-run"}:
        broken.append(f"lookups during a change of domains: {counts}")


def _look_up(caller: Caller, number: int) -> CallResult:
    return caller.call("GET", f"/formulas/{number}", kind="lookup")


def _check_tasks(site: Site, broken: list[str]) -> None:
    reports = site.read_reports()
    overlaps, doubled = find_overlaps(reports), find_finished_twice(reports)
    print(f"tasks in two places at once: {len(overlaps)}; run twice: {len(doubled)}")
    broken.extend(f"task {task} ran in two places at once" for task in overlaps)
    broken.extend(f"task {task} ran twice" for task in doubled)


def _wait_for_interrupt(site: Site) -> None:
    address = f"http://{site.entries[0]}:{CALLERS_PORT}"
    print(f"callers: {address}; settings: {site.folder}; Ctrl-C ends")
    try:
        while True:
            time.sleep(1.0)
    except KeyboardInterrupt:
        print("stopping")

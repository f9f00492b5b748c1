"""The main job of the demonstration site, told step by step."""

import json
import time
from pathlib import Path

from .keys import make_key
from .site import CallerReply, Site, await_condition

EXAMPLE = Path(__file__).parent.parent / "examples" / "lochbrae.jsonc"
LOOKUPS = 20
STATUS_OK = 200
STATUS_ACCEPTED = 202


def demonstrate(site: Site, *, keep: bool) -> int:
    """Run the whole path once; return how many promises broke."""
    broken: list[str] = []
    print("apply:", site.apply(EXAMPLE))
    await_condition("all gateways answer lookups", lambda: _answers_anywhere(site))
    _run_lookups(site, broken)
    key = _buy_twice(site, broken)
    job = _run_job(site, broken)
    _take_domain_out_and_back(site, broken)
    print(f"\ntime line of job {job}:\n{site.show_timeline(job)}")
    print(f"\ntime line of purchase {key}:\n{site.show_timeline(key)}")
    for promise in broken:
        print("BROKEN:", promise)
    print("all promises held" if not broken else f"{len(broken)} promises broken")
    if keep:
        _keep_up(site)
    return len(broken)


def _lookup(site: Site, entry: int) -> CallerReply:
    return site.call(entry, "GET", "/formulas/7", kind="lookup")


def _answers_anywhere(site: Site) -> bool:
    entries = range(len(site.entries))
    return all(_lookup(site, entry).status == STATUS_OK for entry in entries)


def _run_lookups(site: Site, broken: list[str]) -> None:
    replies = [_lookup(site, n % len(site.entries)) for n in range(LOOKUPS)]
    done = sum(reply.outcome == "done" for reply in replies)
    print(f"lookups: {done} of {LOOKUPS} done")
    if done != LOOKUPS:
        broken.append(f"{LOOKUPS - done} lookups were not answered")


def _buy_twice(site: Site, broken: list[str]) -> str:
    key = make_key(time.time())
    replies = [
        site.call(n, "POST", "/licences", kind="purchase", key=key, body=b"{}")
        for n in range(2)
    ]
    for reply in replies:
        print(f"purchase {key}: {reply.status} {reply.outcome}")
    if [reply.outcome for reply in replies] != ["done", "unknown"]:
        broken.append("a purchase did not run exactly once")
    return key


def _run_job(site: Site, broken: list[str]) -> str:
    job = "audit-1"
    body = json.dumps({"id": job, "kind": "audit", "run_seconds": 1.5}).encode()
    reply = site.call(0, "POST", "/jobs", body=body)
    print(f"job {job}: {reply.status} {reply.body.decode()}")
    if reply.status != STATUS_ACCEPTED:
        broken.append("a job was not accepted")
        return job
    await_condition("the job ends", lambda: _read_state(site, job) == "finished")
    print(f"job {job}: {_read_state(site, job)}")
    return job


def _read_state(site: Site, job: str) -> str:
    reply = site.call(1, "GET", f"/jobs/{job}")
    return str(json.loads(reply.body).get("state", ""))


def _take_domain_out_and_back(site: Site, broken: list[str]) -> None:
    text = EXAMPLE.read_text(encoding="utf-8")
    marker = '"scot-b": { "region": "scotland", "state": "in" }'
    edited = site.folder / "edited.jsonc"
    edited.write_text(text.replace(marker, marker.replace('"in"', '"out"')))
    print("scot-b out:", site.apply(edited))
    _watch_lookups(site, broken, seconds=4.0)
    edited.write_text(text)
    print("scot-b back:", site.apply(edited))
    _watch_lookups(site, broken, seconds=2.0)


def _watch_lookups(site: Site, broken: list[str], *, seconds: float) -> None:
    deadline = time.monotonic() + seconds
    told: dict[str, int] = {}
    while time.monotonic() < deadline:
        reply = _lookup(site, len(told) % len(site.entries))
        told[reply.outcome] = told.get(reply.outcome, 0) + 1
    print(f"lookups meanwhile: {told}")
    if set(told) - {"done", "not-run"}:
        broken.append(f"lookups during a change of domains: {told}")


def _keep_up(site: Site) -> None:
    print(
        f"callers: http://{site.entries[0]}:8080; settings: {site.folder}; Ctrl-C ends"
    )
    try:
        while True:
            time.sleep(1.0)
    except KeyboardInterrupt:
        print("stopping")

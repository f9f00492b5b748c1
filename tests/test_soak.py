"""The soak judges rightly, its proxy does what it says, and a short play passes."""

import asyncio

import msgspec
import pytest

from soak.__main__ import REGRESSIONS, Regression
from soak.invariants import check_invariants, find_unfinished
from soak.observations import (
    CallResult,
    Observations,
    ObservedAttempt,
    ObservedJob,
    TaskName,
)
from soak.proxy import Proxy, ProxyMode
from soak.runner import RunPlan, run_plan
from standins.addresses import find_free_address

SEED = 20261204


def make_attempt(
    step=0, position=0, *, attempt=1, worker="w", start=0.0, end=None, **more
):
    task = TaskName("j", 0, step, position)
    account = ObservedAttempt(task, attempt, worker, 1, start, end)
    for name, value in more.items():
        setattr(account, name, value)
    return account


def make_observations(*attempts, **changes):
    job = ObservedJob("j", [1, 1], accepted_at=0.0, submit_results=[CallResult.DONE])
    for name, value in changes.items():
        setattr(job, name, value)
    return Observations({"j": job}, list(attempts))


DONE = {"end": 1.0, "cause": "done"}


@pytest.mark.parametrize(
    ("accounts", "promise"),
    [
        (
            make_observations(
                make_attempt(end=2.0), make_attempt(attempt=2, start=1.0)
            ),
            "one attempt of a task runs at a time",
        ),
        (
            make_observations(
                make_attempt(**DONE, acknowledged_at=1.1),
                make_attempt(attempt=2, start=1.5),
            ),
            "a task that is done isn't started again",
        ),
        (make_observations(make_attempt(1, start=1.0)), "steps run in order"),
        (
            make_observations(make_attempt(), submit_results=[CallResult.REFUSED]),
            "nothing runs that nobody asked for",
        ),
        (
            make_observations(
                make_attempt(start=20.0), cancel_sent_at=1.0, cancelled_at=1.0
            ),
            "nothing runs that nobody asked for",
        ),
        (Observations({}, [make_attempt()]), "nothing runs that nobody asked for"),
        (make_observations(states=[(9.0, "gone")]), "an accepted job is never lost"),
        (make_observations(states=[(1.0, "failed")]), "an accepted job is never lost"),
        (
            make_observations(states=[(1.0, "cancelled")]),
            "an accepted job is never lost",
        ),
        (
            make_observations(make_attempt(**DONE), states=[(1.5, "completed")]),
            "a completed job is complete",
        ),
    ],
)
def test_a_broken_promise_is_found(accounts, promise):
    assert promise in {row.invariant for row in check_invariants(accounts, now=30.0)}


def test_a_job_that_was_done_in_order_breaks_nothing():
    second = make_attempt(1, start=1.2, end=2.0, cause="done")
    accounts = make_observations(
        make_attempt(**DONE, acknowledged_at=1.1), second, states=[(2.1, "completed")]
    )
    assert check_invariants(accounts, now=30.0) == []
    assert find_unfinished(accounts) == []


def test_an_end_that_nobody_took_note_of_may_be_followed_by_another_attempt():
    accounts = make_observations(
        make_attempt(**DONE), make_attempt(attempt=2, start=1.5, end=2.0)
    )
    assert check_invariants(accounts, now=30.0) == []
    assert find_unfinished(accounts)


@pytest.mark.parametrize(
    ("weather", "heard", "answered"),
    [
        (ProxyMode.NORMAL, True, True),
        (ProxyMode.SLOW, True, True),
        (ProxyMode.NO_ANSWERS, True, False),
        (ProxyMode.BLOCKED, False, False),
    ],
)
def test_the_proxy_holds_what_its_weather_says(weather, heard, answered):
    async def scenario():
        received = asyncio.Event()

        async def echo(reader, writer):
            writer.write(await reader.read(100))
            received.set()

        proxy = Proxy(
            listen=find_free_address(), target=find_free_address(), delay=0.01
        )
        host, _, port = proxy.target.rpartition(":")
        await asyncio.start_server(echo, host, int(port))
        await proxy.start()
        host, _, port = proxy.listen.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        proxy.set_mode(weather)
        writer.write(b"hello")
        try:
            answer = await asyncio.wait_for(reader.read(100), 0.3)
        except TimeoutError:
            answer = b""
        first = received.is_set(), answer == b"hello"
        proxy.set_mode(ProxyMode.NORMAL)
        if not answer:
            assert await asyncio.wait_for(reader.read(100), 2.0) == b"hello"
        proxy.close()
        return first

    assert asyncio.run(scenario()) == (heard, answered)


@pytest.mark.processes
def test_a_short_play_keeps_all_promises(tmp_path):
    plan = RunPlan(seed=SEED, seconds=6.0, instances=2, workers=3)
    outcome = asyncio.run(run_plan(plan, tmp_path))
    assert outcome.passed, outcome
    assert outcome.starts > 0


def test_the_seeds_that_ever_failed_have_a_cause():
    rows = msgspec.json.decode(REGRESSIONS.read_bytes(), type=list[Regression])
    assert all(row.cause for row in rows)

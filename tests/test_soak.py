"""Checks, proxy and a short run of the soak test."""

import asyncio
import base64
import json
import random
from types import SimpleNamespace

import msgspec
import pytest

from plantainhinge.adapters.stream_http_messages import HttpRequest
from soak.__main__ import REGRESSIONS, Regression, _list_others
from soak.faults import FAULTS, LONG_SECONDS, FaultContext, _cut
from soak.fronts import StoreFront
from soak.invariants import check_invariants, find_unfinished
from soak.observations import (
    Observations,
    ObservedAttempt,
    ObservedJob,
    SubmitResult,
    TaskName,
)
from soak.proxy import Proxy, ProxyMode
from soak.runner import RunPlan, run_plan
from soak.site import DOMAINS, SoakSite
from soak.workers import SHRINK_SECONDS_MAX, SoakWorker
from standins.addresses import find_free_address
from standins.platform_store import LENGTH_PREFIX, StandInStore, encode_keyed_record

SEED = 20261204


def make_attempt(
    step=0, position=0, *, attempt=1, worker="w", start=0.0, end=None, **more
):
    task = TaskName("j", 0, step, position)
    attempt_record = ObservedAttempt(task, attempt, worker, 1, start, end)
    for name, value in more.items():
        setattr(attempt_record, name, value)
    return attempt_record


def make_observations(*attempts, **changes):
    job = ObservedJob("j", [1, 1], accepted_at=0.0, submit_results=[SubmitResult.DONE])
    for name, value in changes.items():
        setattr(job, name, value)
    return Observations({"j": job}, list(attempts))


DONE = {"end": 1.0, "cause": "done"}


@pytest.mark.parametrize(
    ("observations", "invariant"),
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
            make_observations(make_attempt(), submit_results=[SubmitResult.REFUSED]),
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
        (
            make_observations(
                *(
                    make_attempt(attempt=n, start=n, end=n + 0.1, cause="crashed")
                    for n in range(1, 7)
                ),
                deadly=True,
            ),
            "a task that crashes its workers is given up",
        ),
        (
            make_observations(make_attempt(excess_millicores=500)),
            "no start brings a worker over its capacity",
        ),
    ],
)
def test_violation_is_detected(observations, invariant):
    assert invariant in {
        row.invariant for row in check_invariants(observations, now=30.0)
    }


def test_job_done_in_order_violates_nothing():
    second = make_attempt(1, start=1.2, end=2.0, cause="done")
    observations = make_observations(
        make_attempt(**DONE, acknowledged_at=1.1), second, states=[(2.1, "completed")]
    )
    assert check_invariants(observations, now=30.0) == []
    assert find_unfinished(observations) == []


def test_a_job_is_given_up_whose_task_crashed_five_workers():
    attempts = [
        make_attempt(attempt=n, start=n, end=n + 0.1, cause="crashed")
        for n in range(1, 6)
    ]
    observations = make_observations(*attempts, deadly=True, states=[(9.0, "failed")])
    assert check_invariants(observations, now=30.0) == []
    assert find_unfinished(observations) == []


def test_a_worker_that_shrank_may_be_filled_until_instances_must_know_of_it():
    worker = SoakWorker("w", "h:1", StandInStore("h:2"))
    worker.set_capacity(2000)
    worker.attempts = {("j.0.0.0", 1): None, ("j.0.0.1", 1): None}
    worker.set_capacity(1000)
    assert worker._measure_excess() == 0
    at, millicores = worker.capacities[-1]
    worker.capacities[-1] = (at - SHRINK_SECONDS_MAX - 0.1, millicores)
    assert worker._measure_excess() == 1000


def test_unacknowledged_end_may_be_followed_by_another_attempt():
    observations = make_observations(
        make_attempt(**DONE), make_attempt(attempt=2, start=1.5, end=2.0)
    )
    assert check_invariants(observations, now=30.0) == []
    assert find_unfinished(observations)


@pytest.mark.parametrize(
    ("mode", "received", "answered"),
    [
        (ProxyMode.NORMAL, True, True),
        (ProxyMode.SLOW, True, True),
        (ProxyMode.NO_REQUESTS, False, False),
        (ProxyMode.NO_RESPONSES, True, False),
        (ProxyMode.BLOCKED, False, False),
    ],
)
def test_proxy_blocks_traffic_according_to_its_mode(mode, received, answered):
    async def scenario():
        request_received = asyncio.Event()

        async def echo(reader, writer):
            writer.write(await reader.read(100))
            request_received.set()

        proxy = Proxy(
            listen=find_free_address(), upstream=find_free_address(), delay=0.01
        )
        host, _, port = proxy.upstream.rpartition(":")
        await asyncio.start_server(echo, host, int(port))
        await proxy.start()
        host, _, port = proxy.listen.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        with proxy.impose(mode):
            with proxy.impose(mode):
                writer.write(b"hello")
            try:
                response = await asyncio.wait_for(reader.read(100), 0.3)
            except TimeoutError:
                response = b""
            observed = request_received.is_set(), response == b"hello"
        if not response:
            assert await asyncio.wait_for(reader.read(100), 2.0) == b"hello"
        proxy.close()
        return observed

    assert asyncio.run(scenario()) == (received, answered)


@pytest.mark.processes
def test_short_run_passes(tmp_path):
    plan = RunPlan(seed=SEED, seconds=6.0, instances=2, workers=3)
    outcome = asyncio.run(run_plan(plan, tmp_path))
    assert outcome.passed, outcome
    assert outcome.starts > 0


def test_regression_seeds_have_a_cause():
    rows = msgspec.json.decode(REGRESSIONS.read_bytes(), type=list[Regression])
    assert all(row.cause for row in rows)


def test_regression_seeds_name_only_faults_that_exist():
    rows = msgspec.json.decode(REGRESSIONS.read_bytes(), type=list[Regression])
    named = {name for row in rows for name in row.excluded + row.only}
    assert named <= set(FAULTS)


def test_faults_that_are_not_named_are_excluded():
    named, *others = FAULTS
    assert _list_others([named]) == tuple(others)
    assert _list_others([]) == ()


def test_front_gives_an_instance_proxies_in_place_of_addresses_and_takes_them_back():
    async def scenario():
        store = StandInStore(find_free_address())
        worker, proxy, other = (find_free_address() for _ in range(3))
        front = StoreFront(find_free_address(), store)
        front.add_path(worker, proxy)
        store.put("keyed.servers", "w", f"{worker} {other}".encode())
        query = "topic=keyed.servers&part=0"
        read = make_request("GET", f"/-/log-read?{query}&from=0")
        newest = make_request("GET", f"/-/log-newest?{query}")
        record = encode_keyed_record("w", f"{proxy} {other}".encode())
        body = LENGTH_PREFIX.pack(len(record)) + record
        append = make_request("POST", "/-/log-append?topic=own&part=0", body)
        (item,) = json.loads((await front.handle(newest)).body)["items"]
        assert base64.b64decode(item["value"]) == f"{proxy} {other}".encode()
        assert record in (await front.handle(read)).body
        assert (await front.handle(append)).status == 200
        assert store.topics["own"].records[0].endswith(f"{worker} {other}".encode())
        front.refusal = 429
        assert (await front.handle(append)).status == 429
        assert len(store.topics["own"].records) == 1

    asyncio.run(scenario())


def make_request(method, path, body=b""):
    return HttpRequest(method=method, path=path, headers={}, body=body)


@pytest.mark.parametrize("domain", DOMAINS)
def test_a_cut_holds_back_exactly_what_crosses_the_border_of_a_domain(domain, tmp_path):
    site = SoakSite(tmp_path)
    names = {f"{kind}{of}": of for of in DOMAINS for kind in "iw"}
    for name, of in names.items():
        if name.startswith("w"):
            site.workers[name] = SoakWorker(name, "h:1", site.store, domain=of)
            continue
        site.instances[name] = SimpleNamespace(domain=of, log=Proxy("h:1", "h:2"))
        for target in set(names) - {name}:
            site.paths[name, target] = Proxy("h:1", "h:2")
    with _cut(FaultContext(site, random.Random(domain)), domain):
        for (source, target), path in site.paths.items():
            crosses = (names[source] == domain) is not (names[target] == domain)
            assert bool(path._modes) is crosses
        for instance in site.instances.values():
            assert bool(instance.log._modes) is (instance.domain == domain)
        hidden = {worker.domain for worker in site.workers.values() if worker.hidden}
        assert hidden <= {domain}
    assert not any(worker.hidden for worker in site.workers.values())
    assert not any(path._modes for path in site.paths.values())


def test_only_faults_that_exist_have_a_duration_of_their_own():
    assert set(LONG_SECONDS) <= set(FAULTS)

"""Tests of an instance's loops and of its answers to invalid or early requests."""

import asyncio

import msgspec
import pytest

from plantainhinge.adapters.stream_http_messages import HttpRequest
from plantainhinge.core.ids import Revision
from plantainhinge.daemons.instance import keep_running
from plantainhinge.fleet.operator import QueueRoute, SchedulingConfiguration
from plantainhinge.jobs.outcomes import CallOutcome
from plantainhinge.platform.ingress import Ingress

from .simulated_cell import make_policy

CONFIGURATION = SchedulingConfiguration(
    revision=Revision(1),
    routes=(QueueRoute(host="h", prefix="/p/", policy=make_policy()),),
    body_bytes_max=10,
)


class Service:
    """A fake job service that only has a configuration."""

    retry_after = 1.0

    def __init__(self, configuration):
        self.configuration = configuration
        self.submitted = []
        self.timeouts = []

    async def submit(self, job, policy, spec, *, workspace, timeout):
        self.submitted.append(len(spec.steps))
        return CallOutcome.DONE

    async def get_job_state(self, job, *, caller, timeout):
        self.timeouts.append(timeout)
        return CallOutcome.UNKNOWN_JOB


def call(configuration, method, path, body=b""):
    request = HttpRequest(method, path, {"host": "h"}, body)
    reply = asyncio.run(Ingress(Service(configuration), None).handle(request))
    return reply.status, dict(reply.headers)


def test_a_failed_loop_is_restarted():
    calls = []

    async def work():
        calls.append(True)
        if len(calls) == 1:
            raise RuntimeError("a programming error")

    asyncio.run(keep_running(work))
    assert len(calls) == 2


def test_callers_are_told_to_retry_until_a_configuration_is_loaded():
    status, headers = call(None, "POST", "/p/0123456789abcdef")
    assert (status, headers) == (503, {"Retry-After": "1"})


def test_invalid_requests_are_rejected():
    assert call(CONFIGURATION, "POST", "/q/0123456789abcdef")[0] == 404
    assert call(CONFIGURATION, "POST", "/p/not-an-id")[0] == 400
    assert call(CONFIGURATION, "PUT", "/p/0123456789abcdef")[0] == 405


def test_a_body_over_the_configured_limit_is_rejected():
    assert call(CONFIGURATION, "POST", "/p/0123456789abcdef", b"x" * 11)[0] == 413


# one caller after the other waited until all large bodies were decoded
def test_a_small_job_does_not_wait_for_all_large_ones():
    configuration = msgspec.structs.replace(CONFIGURATION, body_bytes_max=100_000)
    service = Service(configuration)
    ingress = Ingress(service, None)

    def post(number, steps):
        body = b'{"spec":"","steps":[' + b"{}," * (steps - 1) + b"{}]}"
        path = f"/p/{number:016x}"
        return ingress.handle(HttpRequest("POST", path, {"host": "h"}, body))

    async def run():
        large = [post(number, 10_000) for number in range(5)]
        return await asyncio.gather(*large, post(5, 1))

    replies = asyncio.run(run())
    assert [reply.status for reply in replies] == [200] * 6
    assert service.submitted.index(1) == 0


def test_a_large_job_whose_turn_comes_too_late_is_refused():
    configuration = msgspec.structs.replace(CONFIGURATION, body_bytes_max=100_000)
    service = Service(configuration)
    ingress = Ingress(service, None)
    headers = {"host": "h", "x-deadline-ms": "50"}
    request = HttpRequest("POST", "/p/0123456789abcdef", headers, b" " * 20_000)

    async def run():
        async with ingress._large_body_lock:
            return await ingress.handle(request)

    reply = asyncio.run(run())
    assert (reply.status, dict(reply.headers)) == (503, {"Retry-After": "1"})


# while the cell had no owner, such a request was kept for ever
@pytest.mark.parametrize(
    ("text", "seconds"),
    [("1500", 1.5), ("inf", 60), ("1e300", 60), ("nan", 3), ("x", 3), ("", 3)],
)
def test_a_deadline_that_is_too_long_or_none_is_bounded(text, seconds):
    service = Service(CONFIGURATION)
    headers = {"host": "h", "x-deadline-ms": text}
    request = HttpRequest("GET", "/p/0123456789abcdef", headers, b"")
    asyncio.run(Ingress(service, None).handle(request))
    assert service.timeouts == [seconds]

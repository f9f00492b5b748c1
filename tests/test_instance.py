"""Tests of an instance's loops and of its answers to invalid or early requests."""

import asyncio

from plantainhinge.adapters.stream_http_messages import HttpRequest
from plantainhinge.core.ids import Revision
from plantainhinge.daemons.instance import keep_running
from plantainhinge.fleet.operator import QueueRoute, SchedulingConfiguration
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

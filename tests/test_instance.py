"""The loops of an instance, and what it answers callers before it knows anything."""

import asyncio

from plantainhinge.adapters.stream_http_server import HttpRequest
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
    """A job service that only knows a configuration."""

    retry_after = 1.0

    def __init__(self, configuration):
        self.configuration = configuration


def call(configuration, method, path, body=b""):
    request = HttpRequest(method, path, {"host": "h"}, body)
    reply = asyncio.run(Ingress(Service(configuration)).handle(request))
    return reply.status, dict(reply.headers)


def test_a_loop_that_fails_is_begun_again():
    runs = []

    async def work():
        runs.append(True)
        if len(runs) == 1:
            raise RuntimeError("a fault of ours")

    asyncio.run(keep_running(work))
    assert len(runs) == 2


def test_callers_are_told_when_to_come_back_before_there_is_a_configuration():
    status, headers = call(None, "POST", "/p/0123456789abcdef")
    assert (status, headers) == (503, {"Retry-After": "1"})


def test_what_no_queue_takes_is_refused():
    assert call(CONFIGURATION, "POST", "/q/0123456789abcdef")[0] == 404
    assert call(CONFIGURATION, "POST", "/p/not-an-id")[0] == 400
    assert call(CONFIGURATION, "PUT", "/p/0123456789abcdef")[0] == 405


def test_a_body_over_the_configured_limit_is_refused():
    assert call(CONFIGURATION, "POST", "/p/0123456789abcdef", b"x" * 11)[0] == 413

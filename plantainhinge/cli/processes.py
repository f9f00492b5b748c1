"""Sends queries to all processes of a site."""

from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from ..adapters.instances_http import HttpInstanceList
from ..adapters.peers_grpc import Method, Peers
from ..core.errors import PlantainhingeError, UnavailableError
from ..core.settings import Settings
from ..core.states import DaemonRole, InstanceRole

QUERY_TIMEOUT_SECONDS = 3.0

Request = TypeVar("Request")
Response = TypeVar("Response")


@dataclass(frozen=True)
class ProcessEndpoint:
    """A daemon of an entry instance and the address it serves peers on."""

    instance: str
    role: DaemonRole
    address: str


@dataclass(frozen=True)
class Reply(Generic[Response]):
    """The response of one process, or the error instead."""

    endpoint: ProcessEndpoint
    response: Response | None
    error: PlantainhingeError | None


def list_endpoints(settings: Settings) -> list[ProcessEndpoint]:
    """Return the endpoints of the daemons on all entry instances."""
    instances = HttpInstanceList(settings.instance_list_address).fetch()
    ports = {
        DaemonRole.GATEWAY: settings.ports.gateway_peers,
        DaemonRole.SCHEDULER: settings.ports.scheduler_peers,
    }
    return [
        ProcessEndpoint(instance.instance, role, f"{instance.address}:{port}")
        for instance in instances
        if instance.role is InstanceRole.ENTRY
        for role, port in ports.items()
    ]


def query_processes(
    settings: Settings,
    method: Method[Request, Response],
    requests: list[Request],
    *,
    role: DaemonRole | None = None,
) -> list[Reply[Response]]:
    """Send requests concurrently to all processes, or to those of one role.

    Raises
    ------
    UnavailableError
        If no process responded.
    """
    endpoints = [e for e in list_endpoints(settings) if role in (None, e.role)]
    peers = Peers()
    with peers.connect():
        calls = [
            (
                endpoint,
                peers.call(
                    endpoint.address, method, request, timeout=QUERY_TIMEOUT_SECONDS
                ),
            )
            for request in requests
            for endpoint in endpoints
        ]
        replies = [_await_reply(endpoint, future) for endpoint, future in calls]
    if not any(_has_responded(reply) for reply in replies):
        raise UnavailableError(
            f"none of {len(endpoints)} processes answered", step=f"peer.{method.name}"
        )
    return replies


def _await_reply(endpoint: ProcessEndpoint, future: Future[Any]) -> Reply[Any]:
    try:
        return Reply(endpoint, future.result(), None)
    except PlantainhingeError as error:
        return Reply(endpoint, None, error)


def _has_responded(reply: Reply[Any]) -> bool:
    # errors with these two codes were sent by the process itself
    return reply.error is None or reply.error.code in ("not-owner", "bad-input")

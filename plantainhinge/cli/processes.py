"""Asking all processes of a site the same question."""

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
Answer = TypeVar("Answer")


@dataclass(frozen=True)
class ProcessEndpoint:
    """Where a process should answer."""

    instance: str
    role: DaemonRole
    address: str


@dataclass(frozen=True)
class Reply(Generic[Answer]):
    """What one process answered, or why it did not."""

    endpoint: ProcessEndpoint
    response: Answer | None
    error: PlantainhingeError | None


def list_endpoints(settings: Settings) -> list[ProcessEndpoint]:
    """Return where the daemons of all entry instances should answer."""
    rows = HttpInstanceList(settings.instance_list_address).fetch()
    ports = {
        DaemonRole.GATEWAY: settings.ports.gateway_peers,
        DaemonRole.SCHEDULER: settings.ports.scheduler_peers,
    }
    return [
        ProcessEndpoint(row.instance, role, f"{row.address}:{port}")
        for row in rows
        if row.role is InstanceRole.ENTRY
        for role, port in ports.items()
    ]


def query_processes(
    settings: Settings,
    method: Method[Request, Answer],
    requests: list[Request],
    *,
    role: DaemonRole | None = None,
) -> list[Reply[Answer]]:
    """Send requests to all processes, or to those of one role, at once.

    Raises
    ------
    UnavailableError
        If no process answered at all.
    """
    places = [p for p in list_endpoints(settings) if role in (None, p.role)]
    peers = Peers()
    with peers.connect():
        calls = [
            (
                place,
                peers.call(
                    place.address, method, request, timeout=QUERY_TIMEOUT_SECONDS
                ),
            )
            for request in requests
            for place in places
        ]
        replies = [_await_reply(place, future) for place, future in calls]
    if not any(_has_answered(reply) for reply in replies):
        raise UnavailableError(
            f"none of {len(places)} processes answered", step=f"peer.{method.name}"
        )
    return replies


def _await_reply(place: ProcessEndpoint, future: Future[Any]) -> Reply[Any]:
    try:
        return Reply(place, future.result(), None)
    except PlantainhingeError as error:
        return Reply(place, None, error)


def _has_answered(reply: Reply[Any]) -> bool:
    return reply.error is None or reply.error.code in ("not-owner", "bad-input")

"""Interfaces to the platform's services, the workers and the targets.

The decision code depends only on these. Each has one contract test in
``tests/contracts``, which every implementation must pass. A call raises
``UnavailableError`` if it certainly had no effect and ``UncertainError`` if its
response was lost.
"""

from collections.abc import Sequence
from typing import Protocol

from .ids import Offset, StreamName
from .messages import (
    AttemptRef,
    AttemptReport,
    Instance,
    Page,
    RenewLeases,
    StartTask,
    StopTask,
    TargetRequest,
    TargetResponse,
    ThrottleTask,
    WorkerReport,
)


class PlatformLog(Protocol):
    """The platform's append-only log service."""

    def append(self, stream: StreamName, data: bytes) -> Offset:
        """Append one entry and return its offset.

        Raises
        ------
        TooLargeError
            If the entry exceeds the log's size limit.
        """

    def read(self, stream: StreamName, start: Offset, max_bytes: int) -> Page:
        """Return entries from ``start`` on: at least one, at most ``max_bytes`` in all.

        A read at or past the end of the stream returns a page without entries,
        which still reports the end. A stream that was never written to is empty.

        Raises
        ------
        TrimmedError
            If ``start`` is before the oldest entry that the log still holds.
        """


class InstanceList(Protocol):
    """The platform's list of instances, which may be out of date."""

    def fetch(self) -> list[Instance]:
        """Return all instances as the platform last recorded them."""


class WorkerClient(Protocol):
    """Client of the workers' API; ``address`` is ``ip:port``."""

    def start(self, address: str, message: StartTask) -> AttemptReport:
        """Start an attempt; idempotent, returning the report of one already started."""

    def renew(self, address: str, message: RenewLeases) -> WorkerReport:
        """Renew leases and return the worker's report of all its attempts."""

    def checkpoint(self, address: str, message: AttemptRef) -> AttemptReport:
        """Checkpoint the attempt; the report has the name of the checkpoint."""

    def throttle(self, address: str, message: ThrottleTask) -> AttemptReport:
        """Limit the CPU of the attempt."""

    def stop(self, address: str, message: StopTask) -> AttemptReport:
        """Stop the attempt and report its outcome.

        The worker keeps a tombstone, so that a delayed start message is refused.
        """


class Exchange(Protocol):
    """A request that was sent and whose response has not been received yet."""

    def receive(self) -> TargetResponse:
        """Return the complete response; raise ``UncertainError`` if there is none.

        Blocks no longer than the timeout of the request.
        """

    def abandon(self) -> None:
        """Discard the response, which must never be delivered to another request."""


class TargetClient(Protocol):
    """Client that sends requests to targets; ``address`` is ``ip:port``."""

    def send(self, address: str, request: TargetRequest) -> Exchange:
        """Send a request; its response is received from the exchange."""

    def wait(self, exchanges: Sequence[Exchange], timeout: float) -> list[Exchange]:
        """Return the exchanges that are ready; none after ``timeout`` seconds."""

    def close_idle(self) -> None:
        """Close connections whose idle timeout has passed."""

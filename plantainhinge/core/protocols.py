"""The interfaces between the decisions and the world outside.

Each has one contract test in ``tests/contracts`` that every implementation
passes. A call raises ``UnavailableError`` if it surely had no effect and
``UncertainError`` if its answer was lost.
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
            If the log takes no entry of this size.
        """

    def read(self, stream: StreamName, start: Offset, max_bytes: int) -> Page:
        """Return entries from ``start`` on, at least one if there is any.

        A stream that was never written is empty. Past the end there are no
        entries; the page tells where the end is.

        Raises
        ------
        TrimmedError
            If ``start`` is older than the oldest entry held.
        """


class InstanceList(Protocol):
    """The platform's list of instances, which lags."""

    def fetch(self) -> list[Instance]:
        """Return the list as the platform last knew it."""


class WorkerClient(Protocol):
    """The API of workers; ``address`` is ``ip:port``."""

    def start(self, address: str, message: StartTask) -> AttemptReport:
        """Start an attempt; the same attempt again returns its report."""

    def renew(self, address: str, message: RenewLeases) -> WorkerReport:
        """Renew leases and return what the worker knows of all its attempts."""

    def checkpoint(self, address: str, message: AttemptRef) -> AttemptReport:
        """Save the attempt's progress and return the checkpoint's name."""

    def throttle(self, address: str, message: ThrottleTask) -> AttemptReport:
        """Limit the attempt's processors."""

    def stop(self, address: str, message: StopTask) -> AttemptReport:
        """Stop the attempt, leave a tombstone, and return its outcome."""


class Exchange(Protocol):
    """A request that was sent and whose answer has not been received."""

    def receive(self) -> TargetResponse:
        """Return the whole answer; raise ``UncertainError`` if there is none.

        Ends within the time that the request was sent with.
        """

    def abandon(self) -> None:
        """Give up the answer; it can reach no other request."""


class TargetClient(Protocol):
    """Exchanges with targets; ``address`` is ``ip:port``."""

    def send(self, address: str, request: TargetRequest) -> Exchange:
        """Send a request, of which the answer is received later."""

    def wait(self, exchanges: Sequence[Exchange], timeout: float) -> list[Exchange]:
        """Return the exchanges that can be received, none after ``timeout`` seconds."""

    def close_idle(self) -> None:
        """Close connections that have been idle for long."""

"""Messages that ask a process what it knows."""

from ..ids import DomainId, ProcessId, ServiceId
from .base import Message
from .peers import Heartbeat
from .targets import Target


class QueryTargets(Message, frozen=True):
    """Asks a cell's owner for the replicas it runs, for a known service.

    Parameters
    ----------
    gateway : ProcessId
        Who asks; a large cell tells each gateway another part of its replicas.
    limit : int
        The most replicas wanted; 0 for all.
    seen : int
        The version that the gateway has; 0 if none.
    """

    cell: DomainId
    service: ServiceId
    gateway: ProcessId = ProcessId("")
    limit: int = 0
    seen: int = 0


class TargetList(Message, frozen=True):
    """The replicas of one service in one cell.

    Parameters
    ----------
    version : int
        Changes with the list; never 0.
    unchanged : bool
        The gateway's version is still right and no replicas are listed.
    """

    targets: list[Target]
    version: int = 1
    unchanged: bool = False


class QueryEvents(Message, frozen=True):
    """Asks a process for its events about a subject; empty asks for all."""

    subject: str = ""


class QueryStatus(Message, frozen=True):
    """Asks a process how it fares."""


class ProcessStatus(Message, frozen=True):
    """How a process fares.

    Parameters
    ----------
    configuration_age : float or None
        Seconds since it last confirmed its view of the configuration; None if
        it never did.
    peers : int
        Live processes it hears of, with itself.
    troubles : list of str
        Why it lags or is not ready.
    """

    heartbeat: Heartbeat
    configuration_age: float | None
    peers: int
    troubles: list[str]


class Empty(Message, frozen=True):
    """No content."""

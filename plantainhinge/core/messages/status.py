"""Queries of a process's targets, events and status."""

from ..ids import DomainId, ProcessId, ServiceId
from .base import Message
from .peers import Heartbeat
from .targets import Target


class QueryTargets(Message, frozen=True):
    """Asks a cell's owner for the replicas of a service in the cell.

    Parameters
    ----------
    gateway : ProcessId
        The sender; a large cell lists a different subset of its replicas to each
        gateway.
    limit : int
        Maximum number of replicas to list; 0 for all.
    seen : int
        The version of the list that the gateway has; 0 if none.
    """

    cell: DomainId
    service: ServiceId
    gateway: ProcessId = ProcessId("")
    limit: int = 0
    seen: int = 0


class TargetList(Message, frozen=True):
    """Replicas of one service in one cell.

    Parameters
    ----------
    version : int
        Changes whenever the list does; never 0.
    unchanged : bool
        Whether the gateway's version is still current; no replicas are listed then.
    """

    targets: list[Target]
    version: int = 1
    unchanged: bool = False


class QueryEvents(Message, frozen=True):
    """Asks a process for the events that concern a subject; empty for all."""

    subject: str = ""


class QueryStatus(Message, frozen=True):
    """Asks a process for its status."""


class ProcessStatus(Message, frozen=True):
    """Health of a process, as shown to operators.

    Parameters
    ----------
    configuration_age : float or None
        Seconds since it last confirmed its view of the configuration; None if
        it never did.
    peers : int
        Number of live processes it knows, including itself.
    troubles : list of str
        Reasons why it lags behind or is not ready.
    """

    heartbeat: Heartbeat
    configuration_age: float | None
    peers: int
    troubles: list[str]


class Empty(Message, frozen=True):
    """A message without content."""

"""Heartbeats and other messages by which processes share their state."""

from ..ids import DomainId, Epoch, ProcessId, Revision, ServiceId, StreamName
from ..resources import Resources
from ..states import DaemonRole, PeerState
from .base import Message


class CellDigest(Message, frozen=True, array_like=True):
    """Free capacity of a cell, for the ledgers that assign work to it.

    Parameters
    ----------
    worker_capacities : list of Resources
        The distinct capacities of its workers.
    largest_free : Resources
        The largest free amount on any worker, for each resource separately.
    critical : Resources
        Resources held by its latency-critical tasks.
    """

    domain: DomainId
    free: Resources
    capacity: Resources
    largest_free: Resources
    workers: int
    worker_capacities: list[Resources] = []
    critical: Resources = Resources()


class LoadDigest(Message, frozen=True, array_like=True):
    """Load that one gateway puts on one service."""

    service: ServiceId
    in_flight: int
    arrivals_per_second: float


class Heartbeat(Message, frozen=True, array_like=True):
    """State of a process, sent periodically to its peers.

    Parameters
    ----------
    incarnation : int
        Increases with each start of a process at the same address.
    revision : Revision
        Revision of the configuration in force.
    owned : dict of StreamName to Epoch
        The streams it owns and the epochs it owns them under.
    sequence : int
        Increases with each heartbeat of an incarnation.
    configuration_age : float or None
        Seconds since the process last confirmed that its configuration is the
        newest; None if it never did.
    unready_reason : str
        Why the process is not ready, if known.
    relays : list of RelayedHeartbeat
        Heartbeats of other processes, passed on by gossip.
    """

    process: ProcessId
    incarnation: int
    role: DaemonRole
    address: str
    domain: DomainId
    revision: Revision
    ready: bool
    owned: dict[StreamName, Epoch] = {}
    cells: list[CellDigest] = []
    loads: list[LoadDigest] = []
    sequence: int = 0
    configuration_age: float | None = None
    unready_reason: str = ""
    relays: list["RelayedHeartbeat"] = []


class RelayedHeartbeat(Message, frozen=True, array_like=True):
    """The last heartbeat that a process received from another, passed on to a third.

    Parameters
    ----------
    state : PeerState
        State of the sender of the heartbeat, as seen by the relaying process.
    heartbeat_age : float
        Seconds since the heartbeat was sent.
    """

    heartbeat: Heartbeat
    state: PeerState
    heartbeat_age: float


class ConfigurationSnapshot(Message, frozen=True):
    """A snapshot of a process's replica of the configuration stream.

    Parameters
    ----------
    state : bytes
        An encoded snapshot; empty if the process has none.
    """

    state: bytes

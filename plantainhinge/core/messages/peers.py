"""Messages by which processes keep each other informed."""

from ..ids import DomainId, Epoch, ProcessId, Revision, ServiceId, StreamName
from ..resources import Resources
from ..states import DaemonRole, PeerState
from .base import Message


class CellDigest(Message, frozen=True, array_like=True):
    """What a cell can still take, for the ledgers that assign work to it.

    Parameters
    ----------
    shapes : list of Resources
        The different capacities that its workers have.
    largest_free : Resources
        The most that one worker has free, each amount by itself.
    critical : Resources
        What its latency-critical tasks hold.
    """

    domain: DomainId
    free: Resources
    capacity: Resources
    largest_free: Resources
    workers: int
    shapes: list[Resources] = []
    critical: Resources = Resources()


class LoadDigest(Message, frozen=True, array_like=True):
    """What one gateway has in flight at one service."""

    service: ServiceId
    in_flight: int
    arrivals_per_second: float


class Heartbeat(Message, frozen=True, array_like=True):
    """What a process tells its peers about itself.

    Parameters
    ----------
    incarnation : int
        Rises with each start of a process at one address.
    revision : Revision
        The configuration it runs.
    owned : dict of StreamName to Epoch
        The streams it owns.
    beat : int
        Rises with each heartbeat of an incarnation.
    age : float or None
        Seconds since it knew its configuration to be the newest.
    unready : str
        Why it is not ready, when the reason is known.
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
    """What a process last heard of another.

    Parameters
    ----------
    age : float
        Seconds since the heartbeat was sent.
    """

    heartbeat: Heartbeat
    state: PeerState
    heartbeat_age: float


class ConfigurationSnapshot(Message, frozen=True):
    """A replica's state of the configuration stream, as in a snapshot.

    Parameters
    ----------
    state : bytes
        An encoded snapshot; empty if the process has none.
    """

    state: bytes

"""What workers say of themselves and what they are told."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from ..core.ids import AttemptNumber, DomainId, Epoch, Seconds, ServiceId, WorkerId
from ..core.resources import Resources
from ..jobs.model import TaskKey


class WorkerState(Enum):
    """Whether a worker takes new work."""

    READY = "ready"
    DRAINING = "draining"


class WorkerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's entry in the directory.

    Parameters
    ----------
    incarnation : int
        Names this incarnation of the worker; a restart begins another.
    remaining : float
        Seconds that a draining worker surely stays.
    """

    worker: WorkerId
    incarnation: int = msgspec.field(name="born")
    service: ServiceId
    address: str
    domain: DomainId
    capacity: Resources
    labels: tuple[str, ...] = ()
    state: WorkerState = WorkerState.READY
    remaining: float = 0.0


class EndCause(Enum):
    """How an attempt ended on its worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class RunningAttempt:
    """An attempt that a worker runs.

    Parameters
    ----------
    checkpoint : str
        Newest saved progress.
    percent : int
        Progress of a task that ends; 100 for a long-running task at work.
    gauge : float
        Tail latency in seconds of a serving task; cores in use of any other.
    """

    task: TaskKey
    attempt: AttemptNumber
    checkpoint: str
    progress_percent: int
    gauge: float = 0.0


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An attempt that ended on a worker and isn't acknowledged yet.

    Parameters
    ----------
    number : int
        Counts the ends of this incarnation of the worker.
    """

    sequence: int
    task: TaskKey
    attempt: AttemptNumber
    cause: EndCause
    checkpoint: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerReport:
    """A worker's answer to a renewal.

    Parameters
    ----------
    clock : float
        Seconds on the worker's clock.
    incarnation : int
        Which incarnation of the worker answered.
    """

    clock: Seconds
    incarnation: int
    running: tuple[RunningAttempt, ...]
    ended: tuple[EndedAttempt, ...]


class OrderOutcome(Enum):
    """What became of an order to a worker."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    TOO_LATE = "too-late"
    NO_CAPACITY = "no-room"
    NO_TICKET = "no-ticket"
    MALFORMED = "malformed"
    REFUSED = "refused"
    OTHER_INCARNATION = "other-incarnation"
    UNKNOWN = "unknown"
    NOT_SENT = "not-sent"


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderResponse:
    """An answer to an order; the clock is None where no body came."""

    outcome: OrderOutcome
    clock: Seconds | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class StartOrder:
    """Start an attempt.

    Parameters
    ----------
    lease_end : float
        When everything on the worker lapses, in seconds on its clock.
    """

    task: TaskKey
    attempt: AttemptNumber
    payload: str
    checkpoint: str
    epoch: Epoch
    lease_end: Seconds
    ticket: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class StopOrder:
    """Stop an attempt; it also keeps that attempt from starting later."""

    task: TaskKey
    attempt: AttemptNumber
    epoch: Epoch


@dataclass(frozen=True, slots=True, kw_only=True)
class ThrottleOrder:
    """Let an attempt work at a share of its speed, in percent."""

    task: TaskKey
    attempt: AttemptNumber
    speed_percent: int
    epoch: Epoch


@dataclass(frozen=True, slots=True, kw_only=True)
class Renewal:
    """Renew all leases of a worker and ask what it runs.

    Parameters
    ----------
    acknowledged : int
        Ends up to this number are in the log and may be forgotten.
    wait : float
        Seconds that the worker may wait for an end before it answers.
    lease_end : float or None
        As for a start; None renews nothing.
    """

    epoch: Epoch
    acknowledged: int
    wait: Seconds
    lease_end: Seconds | None


@dataclass(frozen=True, slots=True, kw_only=True)
class AdviceRequest:
    """Ask which of some workers may run a step.

    Parameters
    ----------
    task : TaskKey
        Any task of the step.
    """

    task: TaskKey
    workers: tuple[WorkerId, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Advice:
    """Workers that may run a step, each with the ticket that its starts carry.

    Parameters
    ----------
    valid : float
        Seconds for which the tickets hold.
    """

    tickets: tuple[tuple[WorkerId, str], ...]
    valid_seconds: Seconds

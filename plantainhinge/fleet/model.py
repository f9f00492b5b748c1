"""Directory entries and reports of workers, and the orders sent to them."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from ..core.ids import AttemptNumber, DomainId, Epoch, Seconds, ServiceId, WorkerId
from ..core.resources import Resources
from ..jobs.model import TaskKey


class WorkerState(Enum):
    """Whether a worker accepts new attempts."""

    READY = "ready"
    DRAINING = "draining"


class WorkerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Entry of a worker in the worker directory.

    Parameters
    ----------
    incarnation : int
        Number of this incarnation of the worker; it increases with each restart.
    remaining : float
        Seconds for which a draining worker is certain to stay available.
    warming : float
        Seconds, from when the entry was written, until a worker that has just started
        runs at full speed.
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
    warming: float = 0.0


class EndCause(Enum):
    """Why an attempt ended, as reported by its worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class RunningAttempt:
    """A running attempt, as listed in a worker report.

    Parameters
    ----------
    checkpoint : str
        Newest checkpoint; empty if there is none.
    progress_percent : int
        Progress of the task; 100 for a long-running task that is ready.
    gauge : float
        Tail latency in seconds for a serving task, cores in use for any other.
    """

    task: TaskKey
    attempt: AttemptNumber
    checkpoint: str
    progress_percent: int
    gauge: float = 0.0


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An ended attempt whose end has not been acknowledged to the worker yet.

    Parameters
    ----------
    sequence : int
        Sequence number of the end within this incarnation of the worker.
    """

    sequence: int
    task: TaskKey
    attempt: AttemptNumber
    cause: EndCause
    checkpoint: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerReport:
    """Response of a worker to a renewal of its leases.

    Parameters
    ----------
    clock : float
        Time in seconds on the worker's clock.
    incarnation : int
        Incarnation of the worker that answered.
    """

    clock: Seconds
    incarnation: int
    running: tuple[RunningAttempt, ...]
    ended: tuple[EndedAttempt, ...]


class OrderOutcome(Enum):
    """Outcome of an order to a worker.

    With ``UNKNOWN`` the order may or may not have been carried out; ``NOT_SENT`` means
    that it did not reach the worker.
    """

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
    """Response to an order.

    Parameters
    ----------
    clock : float, optional
        Time in seconds on the worker's clock; None if the response did not contain it.
    """

    outcome: OrderOutcome
    clock: Seconds | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class StartOrder:
    """Order to start an attempt.

    Parameters
    ----------
    lease_end : float
        Expiry of the lease for all attempts on the worker, in seconds on its clock.
    ticket : str
        Ticket of the advice service, if the queue requires one.
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
    """Order to stop an attempt.

    It also prevents a start order for the attempt that arrives later.
    """

    task: TaskKey
    attempt: AttemptNumber
    epoch: Epoch


@dataclass(frozen=True, slots=True, kw_only=True)
class ThrottleOrder:
    """Order to limit an attempt to a percentage of its full speed."""

    task: TaskKey
    attempt: AttemptNumber
    speed_percent: int
    epoch: Epoch


@dataclass(frozen=True, slots=True, kw_only=True)
class Renewal:
    """Renewal of all leases of a worker; it is answered with a report.

    Parameters
    ----------
    incarnation : int
        Incarnation of the worker to which ``acknowledged`` and ``lease_end`` refer.
        They must not reach any other one: it would forget ends that nobody has seen.
    acknowledged : int
        Ends up to this sequence number are in the log, so the worker need not list
        them any more.
    wait : float
        Seconds for which the worker may hold back its report until an attempt ends.
    lease_end : float or None
        New expiry of the leases, in seconds on the worker's clock; None requests a
        report without a renewal.
    """

    epoch: Epoch
    incarnation: int
    acknowledged: int
    wait: Seconds
    lease_end: Seconds | None


@dataclass(frozen=True, slots=True, kw_only=True)
class AdviceRequest:
    """Query to the advice service: which of these workers may run a step.

    Parameters
    ----------
    task : TaskKey
        Any task of the step.
    """

    task: TaskKey
    workers: tuple[WorkerId, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Advice:
    """Workers that may run a step, each with the ticket for start orders to it.

    Parameters
    ----------
    valid_seconds : float
        Seconds for which the tickets are valid.
    """

    tickets: tuple[tuple[WorkerId, str], ...]
    valid_seconds: Seconds

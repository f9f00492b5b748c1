"""Messages between schedulers and workers."""

from ..ids import AttemptNumber, Epoch, KindId, ServiceId, TaskId, WorkerId
from ..resources import Resources
from ..states import AttemptOutcome, TaskClass
from .base import Message


class StartTask(Message, frozen=True):
    """Asks a worker to start an attempt under a lease.

    Parameters
    ----------
    cell_epoch : Epoch
        Epoch of the cell's owner; a worker refuses one older than the newest it has
        seen.
    lease_seconds : float
        The worker stops the attempt when its lease is not renewed for this long.
    as_of : float
        The reading of the worker's clock that the owner received last; a worker
        refuses a start whose reading is older than ``READING_AGE_SECONDS_MAX``.
    incarnation : int
        The worker's incarnation that the owner received last; a worker refuses any
        other.
    start_before : float
        Time on the worker's clock from which it must refuse this start; 0 for none.
    run_seconds : float
        The expected run time.
    """

    task: TaskId
    attempt: AttemptNumber
    kind: KindId
    task_class: TaskClass
    resources: Resources
    cell_epoch: Epoch
    lease_seconds: float
    as_of: float
    incarnation: int = 0
    start_before: float = 0.0
    service: ServiceId = ServiceId("")
    checkpoint: str = ""
    run_seconds: float = 0.0


class AttemptRef(Message, frozen=True):
    """Identifies one attempt of a task."""

    task: TaskId
    attempt: AttemptNumber


class RenewLeases(Message, frozen=True):
    """Renews the leases of the listed attempts and fences older epochs.

    The worker checks ``as_of`` and ``incarnation`` as in `StartTask`. If either is
    stale, it renews nothing but still reports its attempts.

    Parameters
    ----------
    forget : list of AttemptRef
        Ended attempts that the worker need not report any more. It keeps their
        tombstones for ``READING_AGE_SECONDS_MAX``, after which any start message
        still under way is stale, and then drops them.
    """

    cell_epoch: Epoch
    lease_seconds: float
    attempts: list[AttemptRef]
    as_of: float = 0.0
    incarnation: int = 0
    forget: list[AttemptRef] = []


class AttemptReport(Message, frozen=True):
    """State of an attempt, as reported by its worker.

    Parameters
    ----------
    outcome : AttemptOutcome or None
        How the attempt ended; None while it runs.
    address : str
        Address at which a service replica accepts requests.
    usage : Resources
        Mean resource usage over the last reporting window.
    slowdown : float
        Service time of a service, or time for the same progress of a batch attempt,
        relative to running alone; 1.0 means no slowdown.
    usage_age : float
        Seconds since the reporting window ended.
    limit : int
        CPU limit of a throttled attempt in millicores; 0 if it is not throttled.
    """

    task: TaskId
    attempt: AttemptNumber
    outcome: AttemptOutcome | None = None
    address: str = ""
    checkpoint: str = ""
    reason: str = ""
    usage: Resources = Resources()
    slowdown: float = 1.0
    usage_age: float = 0.0
    limit: int = 0


class WorkerReport(Message, frozen=True):
    """Response of a worker to a renewal: its clock and all its attempts.

    Parameters
    ----------
    now : float
        Reading of the worker's monotonic clock.
    incarnation : int
        Increases with each start of the worker. No attempt outlives an incarnation.
    """

    worker: WorkerId
    now: float
    attempts: list[AttemptReport]
    incarnation: int = 0


class StopTask(Message, frozen=True):
    """Asks a worker to stop an attempt, or to refuse it if it has not started yet.

    Parameters
    ----------
    checkpoint : bool
        Whether to save the progress of the attempt first.
    """

    task: TaskId
    attempt: AttemptNumber
    cell_epoch: Epoch
    checkpoint: bool = True


class ThrottleTask(Message, frozen=True):
    """Asks a worker to limit the CPU of a running batch attempt."""

    task: TaskId
    attempt: AttemptNumber
    cell_epoch: Epoch
    millicores: int
    as_of: float = 0.0
    incarnation: int = 0

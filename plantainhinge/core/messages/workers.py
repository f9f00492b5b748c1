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
        A worker refuses an epoch older than the newest it has seen.
    lease_seconds : float
        The attempt ends by itself when it is not renewed for this long.
    as_of : float
        The worker's own clock as last told to the owner; a worker refuses a
        start whose reading is older than its start window.
    incarnation : int
        The worker's incarnation as last told to the owner; a worker refuses
        another one's.
    start_before : float
        The worker's own clock from which on it must refuse this start.
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
    """Names one attempt of one task."""

    task: TaskId
    attempt: AttemptNumber


class RenewLeases(Message, frozen=True):
    """Renews the leases of the attempts named, and fences older epochs.

    A worker renews nothing if ``as_of`` or ``incarnation`` are stale, as for a
    start; it reports all the same.

    Parameters
    ----------
    forget : list of AttemptRef
        Ended attempts that the worker need not report any more. It refuses to
        start them for one more start window, then forgets them.
    """

    cell_epoch: Epoch
    lease_seconds: float
    attempts: list[AttemptRef]
    as_of: float = 0.0
    incarnation: int = 0
    forget: list[AttemptRef] = []


class AttemptReport(Message, frozen=True):
    """What a worker says of one attempt.

    Parameters
    ----------
    outcome : AttemptOutcome or None
        None while it runs.
    address : str
        Where a service replica answers requests.
    usage : Resources
        Mean use over the last reporting window.
    slowdown : float
        Service time or progress relative to running alone; 1.0 is no loss.
    usage_age : float
        Seconds since the reporting window ended.
    limit : int
        The processors that a throttle leaves it, in millicores; 0 for no throttle.
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
    """A worker's answer to a renewal: its clock and all its attempts.

    Parameters
    ----------
    now : float
        The worker's monotonic clock.
    incarnation : int
        Rises with each start of the worker. No attempt outlives an incarnation.
    """

    worker: WorkerId
    now: float
    attempts: list[AttemptReport]
    incarnation: int = 0


class StopTask(Message, frozen=True):
    """Asks a worker to stop an attempt, or never to start it."""

    task: TaskId
    attempt: AttemptNumber
    cell_epoch: Epoch
    checkpoint: bool = True


class ThrottleTask(Message, frozen=True):
    """Limits the processors of a running batch attempt."""

    task: TaskId
    attempt: AttemptNumber
    cell_epoch: Epoch
    millicores: int
    as_of: float = 0.0
    incarnation: int = 0

"""Log events about the attempts and jobs of an owned cell."""

import logging
from enum import Enum

from ..core.ids import AttemptNumber, Epoch, JobId, WorkerId
from ..core.log_events import LogEvent, LogFields, log_event
from ..fleet.model import EndCause, OrderOutcome
from ..jobs.model import JobState, TaskKey
from .model import Attempt, AttemptPhase
from .outages import LossCause


class AttemptFields(LogFields, frozen=True, kw_only=True):
    """An attempt of a task.

    Parameters
    ----------
    job : str
        Its job's id.
    task : str
        Job, occurrence, step and position, with dots between.
    attempt : int
        Its number among the attempts of the task.
    worker : str
        The worker that it was ordered on.
    phase : str
        Its state at that worker.
    tries : int
        Number of times that orders for it were sent.
    """

    job: JobId
    task: str
    attempt: int
    worker: WorkerId
    phase: AttemptPhase
    tries: int


class AttemptEvent(LogEvent, frozen=True, kw_only=True):
    """An event about one attempt."""

    about: AttemptFields


class LossFields(LogFields, frozen=True, kw_only=True):
    """The loss of an attempt together with its worker.

    Parameters
    ----------
    ran_s : float
        Seconds from its first order until the worker fell silent.
    beside : int
        Other attempts that were bound to the worker.
    losses : int
        Attempts of its task that were lost so far, as far as this owner knows.
    epoch : int
        The owner's epoch; another owner with a higher one may know better.
    unconfirmed_s : float
        Seconds since another owner was last ruled out.
    """

    ran_s: float
    beside: int
    losses: int
    epoch: Epoch
    unconfirmed_s: float


@log_event("lease lapsed")
class LeaseExpired(AttemptEvent, frozen=True, kw_only=True):
    """The lease of an unreachable worker has certainly ended; the task waits again."""

    loss: LossFields


@log_event("attempt lost with its worker")
class AttemptLost(AttemptEvent, frozen=True, kw_only=True):
    """A worker crashed or has left; the task of an attempt that it ran waits again.

    Parameters
    ----------
    cause : str
        How it is known that the attempt ended.
    """

    cause: LossCause

    loss: LossFields


@log_event("withheld tasks let go")
class WithheldLetGo(LogEvent, frozen=True, kw_only=True):
    """What an earlier owner may have started on a silent worker has surely ended.

    Parameters
    ----------
    worker : str
        The worker, which was silent before this owner took over.
    tasks : int
        Tasks that may start elsewhere now.
    cause : str
        How it is known that their attempts ended.
    """

    worker: WorkerId
    tasks: int
    cause: LossCause


@log_event("attempt found beside another", level=logging.WARNING)
class SecondAttemptFound(AttemptEvent, frozen=True, kw_only=True):
    """A worker runs an attempt of a task that is done or runs elsewhere; it is stopped.

    Parameters
    ----------
    others : list of str
        Workers of the other attempts; none if the task is done.
    """

    others: tuple[WorkerId, ...]


@log_event("attempt is gone")
class AttemptGone(AttemptEvent, frozen=True, kw_only=True):
    """A worker reports neither the attempt nor its end; the task waits again."""


@log_event("attempt ended")
class AttemptEnded(AttemptEvent, frozen=True, kw_only=True):
    """An attempt ended without completing its task.

    Parameters
    ----------
    cause : str
        Cause reported by the worker.
    failures : int
        Failures of the task that count towards its limit so far.
    """

    cause: EndCause
    failures: int


class DropReason(Enum):
    """Why an end of an attempt that this owner doesn't know has no effect."""

    NOT_OPEN = "its job or occurrence isn't open"
    TASK_DONE = "its task is done"
    NOT_INHERITED = "no earlier owner can have started it"
    OTHER_ATTEMPT = "its task has another attempt"


@log_event("end dropped")
class EndDropped(LogEvent, frozen=True, kw_only=True):
    """An end of an unknown attempt is acknowledged, but doesn't count as one.

    If it was ``failed`` and its task is open, it counts as a failure all the same.

    Parameters
    ----------
    job : str
        Its job's id.
    task : str
        Job, occurrence, step and position, with dots between.
    attempt : int
        Its number among the attempts of the task.
    worker : str
        The worker that reported it.
    cause : str
        Cause reported by the worker.
    reason : str
        Why it has no effect.
    """

    job: JobId
    task: str
    attempt: AttemptNumber
    worker: WorkerId
    cause: EndCause
    reason: DropReason


@log_event("attempt makes no progress", level=logging.WARNING)
class AttemptStuck(AttemptEvent, frozen=True, kw_only=True):
    """An attempt made no progress and is stopped, to restart on another worker.

    Parameters
    ----------
    still_s : float
        Seconds since its last progress.
    """

    still_s: float


@log_event("attempt moves")
class AttemptMoved(AttemptEvent, frozen=True, kw_only=True):
    """A throttled attempt is stopped, to continue on another worker.

    Parameters
    ----------
    pace : int
        Percentage of its full speed that it may use.
    target : str
        A worker that has capacity for it now.
    """

    pace: int
    target: WorkerId


@log_event("attempts paced")
class AttemptsThrottled(LogEvent, frozen=True, kw_only=True):
    """Speeds of best-effort attempts changed, to protect serving tasks beside them.

    Parameters
    ----------
    worker : str
        The worker that they run on.
    tasks : list of str
        Tasks of the attempts.
    percents : list of int
        Percentage of its full speed that each may use now.
    pressure : float
        Highest pressure on a serving task there; its tail latency grows without bound
        as this approaches 1.
    over_s : float
        Seconds for which a serving task there has exceeded its target latency.
    """

    worker: WorkerId
    tasks: tuple[str, ...]
    percents: tuple[int, ...]
    pressure: float
    over_s: float


@log_event("start refused")
class StartRefused(AttemptEvent, frozen=True, kw_only=True):
    """An attempt certainly won't start; its task waits again.

    Parameters
    ----------
    cause : str
        Why the worker refused the order, or that the order was never sent.
    """

    cause: OrderOutcome


@log_event("start repeated")
class StartRepeated(AttemptEvent, frozen=True, kw_only=True):
    """A start without an answer is ordered again on the same worker."""


@log_event("start withdrawn")
class StartWithdrawn(AttemptEvent, frozen=True, kw_only=True):
    """A start without an answer is stopped, as its worker may start nothing now."""


@log_event("start unsettled")
class StartUnsettled(AttemptEvent, frozen=True, kw_only=True):
    """A repeated start was refused, and the first one had no answer.

    If the next report doesn't list the attempt, it is stopped.

    Parameters
    ----------
    cause : str
        Why the worker refused the repeated start.
    """

    cause: OrderOutcome


@log_event("copy ordered")
class SpeculativeAttemptOrdered(AttemptEvent, frozen=True, kw_only=True):
    """A speculative attempt starts beside a slow one; the first to finish counts.

    Parameters
    ----------
    target : str
        Worker of the speculative attempt.
    left_s : float
        Seconds that the slow attempt still needs at its speed so far.
    fresh_s : float
        Seconds that a new attempt is expected to take.
    """

    target: WorkerId
    left_s: float
    fresh_s: float


@log_event("task given up", level=logging.WARNING)
class TaskGivenUp(LogEvent, frozen=True, kw_only=True):
    """A task crashes the workers that start it, so its job fails.

    Parameters
    ----------
    job, task : str
        The job's id; job, occurrence, step and position of the task.
    attempts : list of int
        Numbers of the attempts that were lost with their workers.
    workers : list of str
        These workers, in the same order.
    crashes : int
        How many of them are known to have crashed.
    """

    job: JobId
    task: str
    attempts: tuple[int, ...]
    workers: tuple[WorkerId, ...]
    crashes: int


@log_event("job ended")
class JobEnded(LogEvent, frozen=True, kw_only=True):
    """A job completed, failed or was cancelled.

    Parameters
    ----------
    job : str
        Its id.
    state : str
        The final state.
    """

    job: JobId
    state: JobState


def describe_attempt(attempt: Attempt) -> AttemptFields:
    """Return the fields that identify an attempt in log events."""
    return AttemptFields(
        job=attempt.task.key.job,
        task=name_task(attempt),
        attempt=attempt.number,
        worker=attempt.worker.name,
        phase=attempt.phase,
        tries=attempt.orders_sent,
    )


def name_task(attempt: Attempt) -> str:
    """Return the name of an attempt's task in log events."""
    return name_key(attempt.task.key)


def name_key(key: TaskKey) -> str:
    """Return the name of a task in log events."""
    return ".".join(str(part) for part in key)


@log_event("serving tasks move")
class GroupMoved(LogEvent, frozen=True, kw_only=True):
    """Serving tasks of one image move, to free processors for waiting best-effort work.

    Parameters
    ----------
    worker : str
        The worker that they leave.
    image : str
        Their image.
    tasks : int
        How many of them move.
    gain_millicores : int
        Thousandths of a core that waiting work is expected to use in addition.
    """

    worker: WorkerId
    image: str
    tasks: int
    gain_millicores: int

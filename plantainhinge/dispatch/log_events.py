"""Log events about the workers, attempts and jobs of an owned cell."""

import logging

from ..core.ids import JobId, WorkerId
from ..core.log_events import LogEvent, LogFields, log_event
from ..fleet.model import EndCause, OrderOutcome, WorkerState
from ..jobs.model import JobState
from .model import Attempt, AttemptPhase, OpenStep, Worker


class WorkerFields(LogFields, frozen=True, kw_only=True):
    """A worker.

    Parameters
    ----------
    worker : str
        Its id.
    worker_domain : str
        Its failure domain.
    born : int
        Its incarnation: when it started, in milliseconds since the Unix epoch.
    """

    worker: WorkerId
    worker_domain: str
    born: int


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


class StepFields(LogFields, frozen=True, kw_only=True):
    """A step of one occurrence of a job.

    Parameters
    ----------
    job : str
        Its job's id.
    occurrence, step : int
        Numbers of the occurrence, and of the step in it.
    """

    job: JobId
    occurrence: int
    step: int


class WorkerEvent(LogEvent, frozen=True, kw_only=True):
    """An event about one worker."""

    about: WorkerFields


class AttemptEvent(LogEvent, frozen=True, kw_only=True):
    """An event about one attempt."""

    about: AttemptFields


class StepEvent(LogEvent, frozen=True, kw_only=True):
    """An event about one step."""

    about: StepFields


@log_event("worker listed")
class WorkerListed(WorkerEvent, frozen=True, kw_only=True):
    """A worker appeared in the directory."""


@log_event("worker left the list")
class WorkerUnlisted(WorkerEvent, frozen=True, kw_only=True):
    """A worker's entry was removed from the directory; nothing is started there."""


@log_event("worker changed state")
class WorkerChangedState(WorkerEvent, frozen=True, kw_only=True):
    """A worker became ready, or began to drain.

    Parameters
    ----------
    state : str
        Its new state.
    """

    state: WorkerState


@log_event("worker out of touch", level=logging.WARNING)
class WorkerUnreachable(WorkerEvent, frozen=True, kw_only=True):
    """A worker didn't answer; nothing is started there until it does.

    Parameters
    ----------
    silent_s : float
        Seconds since its last answer.
    """

    silent_s: float


@log_event("worker restarted")
class WorkerRestarted(WorkerEvent, frozen=True, kw_only=True):
    """A worker restarted under its id; the attempts that it had reported are lost.

    Parameters
    ----------
    attempts_lost : int
        Attempts that its reports had listed.
    """

    attempts_lost: int


@log_event("lease lapsed")
class LeaseExpired(AttemptEvent, frozen=True, kw_only=True):
    """The lease of an unreachable worker has certainly ended; the task waits again."""


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


@log_event("start unsettled")
class StartUnsettled(AttemptEvent, frozen=True, kw_only=True):
    """A repeated start was refused; the next report shows whether the first succeeded.

    Parameters
    ----------
    cause : str
        Why the worker refused the repeated start.
    """

    cause: OrderOutcome


@log_event("step placed")
class StepPlaced(StepEvent, frozen=True, kw_only=True):
    """Tasks of a step were assigned to workers.

    Parameters
    ----------
    positions : list of int
        Positions of the tasks in the step.
    attempts : list of int
        Number of each new attempt.
    workers : list of str
        Worker of each attempt.
    urgency : str
        Urgency class of the step.
    late_s : float
        Seconds since the step's due time; negative before it.
    waiting : int
        Tasks of the step that found no worker.
    """

    positions: tuple[int, ...]
    attempts: tuple[int, ...]
    workers: tuple[WorkerId, ...]
    urgency: str
    late_s: float
    waiting: int


@log_event("step waits")
class StepWaits(StepEvent, frozen=True, kw_only=True):
    """Not all tasks of a ready step found a worker; written once per step.

    Parameters
    ----------
    waiting : int
        Tasks without a worker.
    millicores, memory_mib : int
        Resources that each task needs.
    workers : int
        Workers of its service that accept new work.
    urgency : str
        Urgency class of the step.
    """

    waiting: int
    millicores: int
    memory_mib: int
    workers: int
    urgency: str


@log_event("long-running tasks idle")
class TasksIdle(StepEvent, frozen=True, kw_only=True):
    """Tasks of a long-running step haven't run for seconds; written every 2 s.

    Parameters
    ----------
    positions : list of int
        Positions of the tasks in the step.
    idle_s : float
        Seconds for which one of them has been seen idle.
    waiting, ordered, stopping : int
        How many of them have no worker, an unconfirmed start, or a stop under way.
    millicores, memory_mib : int
        Resources that each task needs.
    obstacles : list of str
        For the first task that waits: workers on which it has enough free resources, by
        what keeps it from there, as ``OBSTACLE=WORKERS``.
    recovering : bool
        Whether inherited jobs wait until all workers have reported.
    """

    positions: tuple[int, ...]
    idle_s: float
    waiting: int
    ordered: int
    stopping: int
    millicores: int
    memory_mib: int
    obstacles: tuple[str, ...]
    recovering: bool


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


def describe_worker(worker: Worker) -> WorkerFields:
    """Return the fields that identify a worker in log events."""
    return WorkerFields(
        worker=worker.name, worker_domain=worker.entry.domain, born=worker.incarnation
    )


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


def describe_step(step: OpenStep) -> StepFields:
    """Return the fields that identify a step in log events."""
    return StepFields(job=step.job.job_id, occurrence=step.occurrence, step=step.index)


def name_task(attempt: Attempt) -> str:
    """Return the name of an attempt's task in log events."""
    return ".".join(str(part) for part in attempt.task.key)


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

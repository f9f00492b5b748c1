"""Lines of the log about workers, attempts and jobs of an owned cell."""

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
        When it started, in milliseconds since the Unix epoch.
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
        Which start of the task it is.
    worker : str
        Where it was ordered.
    phase : str
        Where it stood at that worker.
    tries : int
        How often the order went out.
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
        Which occurrence, and which of its steps.
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
    """A worker came to the directory."""


@log_event("worker left the list")
class WorkerUnlisted(WorkerEvent, frozen=True, kw_only=True):
    """A worker's entry is gone; nothing starts there."""


@log_event("worker changed state")
class WorkerChangedState(WorkerEvent, frozen=True, kw_only=True):
    """A worker says that it is ready, or that it will leave.

    Parameters
    ----------
    state : str
        What it is now.
    """

    state: WorkerState


@log_event("worker out of touch", level=logging.WARNING)
class WorkerUnreachable(WorkerEvent, frozen=True, kw_only=True):
    """A worker didn't answer; it gets nothing until it does.

    Parameters
    ----------
    silent_s : float
        Seconds since its last answer.
    """

    silent_s: float


@log_event("worker restarted")
class WorkerRestarted(WorkerEvent, frozen=True, kw_only=True):
    """A worker started again under its id; what its lists showed is gone.

    Parameters
    ----------
    attempts_lost : int
        Attempts that its lists had shown.
    """

    attempts_lost: int


@log_event("lease lapsed")
class LeaseLapsed(AttemptEvent, frozen=True, kw_only=True):
    """A silent worker's lease surely ended; the task waits again."""


@log_event("attempt is gone")
class AttemptGone(AttemptEvent, frozen=True, kw_only=True):
    """A worker no longer lists an attempt, nor its end; the task waits again."""


@log_event("attempt ended")
class AttemptEnded(AttemptEvent, frozen=True, kw_only=True):
    """An attempt ended otherwise than by being done.

    Parameters
    ----------
    cause : str
        What the worker says of the end.
    failures : int
        Failures of the task that count so far.
    """

    cause: EndCause
    failures: int


@log_event("attempt makes no progress", level=logging.WARNING)
class AttemptStuck(AttemptEvent, frozen=True, kw_only=True):
    """An attempt is stopped, to be tried elsewhere.

    Parameters
    ----------
    still_s : float
        Seconds since it last progressed.
    """

    still_s: float


@log_event("attempt moves")
class AttemptMoved(AttemptEvent, frozen=True, kw_only=True):
    """An attempt slowed by its neighbours is stopped, to go on elsewhere.

    Parameters
    ----------
    pace : int
        Percent of its speed that it may use.
    target : str
        The worker that has room for it now.
    """

    pace: int
    target: WorkerId


@log_event("attempts paced")
class AttemptsThrottled(LogEvent, frozen=True, kw_only=True):
    """Attempts that fill got another pace, for the serving tasks beside them.

    Parameters
    ----------
    worker : str
        Where they run.
    tasks : list of str
        Tasks whose attempts changed.
    percents : list of int
        Percent of its speed that each may use now.
    pressure : float
        Highest pressure on a serving task there; 1 is without bound.
    over_s : float
        Seconds for which a serving task there has been over its target.
    """

    worker: WorkerId
    tasks: tuple[str, ...]
    percents: tuple[int, ...]
    pressure: float
    over_s: float


@log_event("start refused")
class StartRefused(AttemptEvent, frozen=True, kw_only=True):
    """A start surely won't happen; the task waits again.

    Parameters
    ----------
    cause : str
        The worker's reason, or that it was never sent.
    """

    cause: OrderOutcome


@log_event("start unsettled")
class StartUnsettled(AttemptEvent, frozen=True, kw_only=True):
    """An order was refused when it was repeated; the next list tells what holds.

    Parameters
    ----------
    cause : str
        The worker's reason.
    """

    cause: OrderOutcome


@log_event("step placed")
class StepPlaced(StepEvent, frozen=True, kw_only=True):
    """Tasks of a step were given to workers.

    Parameters
    ----------
    positions : list of int
        The tasks.
    attempts : list of int
        Which start of each task it is.
    workers : list of str
        Where each was ordered.
    urgency : str
        The step's class among those that wait.
    late_s : float
        Seconds since the job was due; negative before.
    waiting : int
        Tasks of the step that found no room.
    """

    positions: tuple[int, ...]
    attempts: tuple[int, ...]
    workers: tuple[WorkerId, ...]
    urgency: str
    late_s: float
    waiting: int


@log_event("step waits")
class StepWaits(StepEvent, frozen=True, kw_only=True):
    """A step's turn came and no worker takes all of its tasks; written once.

    Parameters
    ----------
    waiting : int
        Tasks without a worker.
    millicores, memory_mib : int
        What each of them needs.
    workers : int
        Workers of its service that take work now.
    urgency : str
        The step's class among those that wait.
    """

    waiting: int
    millicores: int
    memory_mib: int
    workers: int
    urgency: str


@log_event("copy ordered")
class SpeculativeAttemptOrdered(AttemptEvent, frozen=True, kw_only=True):
    """A second attempt starts beside a slow one; the first to be done counts.

    Parameters
    ----------
    target : str
        Where the copy runs.
    left_s : float
        Seconds that the slow attempt needs at its speed so far.
    fresh_s : float
        Seconds that a new attempt is expected to need.
    """

    target: WorkerId
    left_s: float
    fresh_s: float


@log_event("job ended")
class JobEnded(LogEvent, frozen=True, kw_only=True):
    """A job's state became final.

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
    """Return a worker's fields for a line."""
    return WorkerFields(
        worker=worker.name, worker_domain=worker.entry.domain, born=worker.incarnation
    )


def describe_attempt(attempt: Attempt) -> AttemptFields:
    """Return an attempt's fields for a line."""
    return AttemptFields(
        job=attempt.task.key.job,
        task=name_task(attempt),
        attempt=attempt.number,
        worker=attempt.worker.name,
        phase=attempt.phase,
        tries=attempt.orders_sent,
    )


def describe_step(step: OpenStep) -> StepFields:
    """Return a step's fields for a line."""
    return StepFields(job=step.job.job_id, occurrence=step.occurrence, step=step.index)


def name_task(attempt: Attempt) -> str:
    """Return the name of an attempt's task in lines."""
    return ".".join(str(part) for part in attempt.task.key)

"""Log events about the steps of jobs: placed, waiting or idle tasks."""

import logging

from ..core.ids import JobId, WorkerId, WorkspaceId
from ..core.log_events import LogEvent, LogFields, log_event
from .model import OpenStep


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


class StepEvent(LogEvent, frozen=True, kw_only=True):
    """An event about one step."""

    about: StepFields


@log_event("step failed", level=logging.ERROR)
class StepFailed(StepEvent, frozen=True, kw_only=True):
    """A programming error while a step was placed; it is tried again later."""


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
    workspace : str
        Workspace of the job; empty if it has none.
    capped : bool
        Whether the workspace's cap keeps the tasks waiting.
    """

    waiting: int
    millicores: int
    memory_mib: int
    workers: int
    urgency: str
    workspace: WorkspaceId
    capped: bool


@log_event("change of a worker missed", level=logging.ERROR)
class ChangeMissed(StepEvent, frozen=True, kw_only=True):
    """A programming error: a task fits on a worker that hasn't changed since it didn't.

    It waited for up to two seconds longer than necessary.

    Parameters
    ----------
    worker : str
        The worker.
    """

    worker: WorkerId


@log_event("tasks idle")
class TasksIdle(StepEvent, frozen=True, kw_only=True):
    """Tasks of a step haven't run for seconds; written every 2 s.

    It tells of ten steps at most: those of long-running tasks, and those of jobs that
    have nothing running although a worker has room.

    Parameters
    ----------
    positions : list of int
        Positions of the tasks in the step.
    idle_s : float
        Seconds for which one of them has been seen idle.
    lasting : bool
        Whether the tasks are long-running.
    waiting, ordered, stopping : int
        How many of them have no worker, an unconfirmed start, or a stop under way.
    millicores, memory_mib : int
        Resources that each task needs.
    obstacles : list of str
        For the first task that waits: workers on which it has enough free resources, by
        the rule that keeps it from there (``dispatch.placement_rules``), as
        ``RULE=WORKERS``.
    recovering : bool
        Whether a task waits for workers that may run it under an earlier owner.
    """

    positions: tuple[int, ...]
    idle_s: float
    lasting: bool
    waiting: int
    ordered: int
    stopping: int
    millicores: int
    memory_mib: int
    obstacles: tuple[str, ...]
    recovering: bool


def describe_step(step: OpenStep) -> StepFields:
    """Return the fields that identify a step in log events."""
    return StepFields(job=step.job.job_id, occurrence=step.occurrence, step=step.index)

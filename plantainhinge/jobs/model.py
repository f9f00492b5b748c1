"""Jobs, their steps and the queues that they come through."""

from collections.abc import Collection
from enum import Enum
from typing import NamedTuple

import msgspec

from ..core.ids import JobId, QueueName, Seconds, ServiceId
from ..core.resources import Resources


class JobState(Enum):
    """Where a job stands, as its caller is told."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_JOB_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class Step(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Tasks of one kind within a job.

    Parameters
    ----------
    count : int
        How many tasks.
    request : Resources
        What each task needs while it runs.
    estimate : float
        Rough running time of a task in seconds.
    depends_on : tuple of int
        Steps whose tasks must all be done before a task of this one starts.
    checkpoints : bool
        Whether a task saves its progress and can resume from it.
    gang : bool
        Whether the tasks only work all together.
    same_rack : bool
        Whether the tasks are faster when one rack holds them all.
    label : str
        A label that the worker must have; empty for any worker.
    rack : str
        The rack where the data is; elsewhere a task is slower.
    per_worker_max : int
        How many tasks of an occurrence one worker may run; 0 for no limit.
    speculative : bool
        Whether several copies of a task may run, the first to finish counts.
    long_running : bool
        Whether the tasks run until the job is cancelled.
    image : str
        What the tasks run; tasks of one image behave alike.
    target_seconds : float
        Tail latency below which a serving task must stay; 0 if it serves nobody.
    best_effort : bool
        Whether the tasks live on the processor time that others leave unused.
    unavailable_max : int
        How many tasks of a long-running step may be away because of the system.
    """

    count: int = 1
    request: Resources = Resources()
    estimate: float = 0.0
    depends_on: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    per_worker_max: int = 0
    speculative: bool = False
    long_running: bool = msgspec.field(name="lasting", default=False)
    image: str = ""
    target_seconds: float = 0.0
    best_effort: bool = msgspec.field(name="fills", default=False)
    unavailable_max: int = 0


class Recurrence(msgspec.Struct, frozen=True, array_like=True):
    """When the steps of a job run again.

    Parameters
    ----------
    times : int
        How many occurrences.
    first : float
        When the first is due, in seconds since the Unix epoch.
    interval : float
        Seconds between two of them.
    """

    times: int
    first: float
    interval: float


class JobSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What a caller hands in.

    Parameters
    ----------
    payload : str
        Passed on to each task as it is.
    """

    payload: str
    steps: tuple[Step, ...]
    recurrence: Recurrence | None = None


class QueuePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How the jobs of a queue are treated.

    Parameters
    ----------
    priority : int
        0 goes first and may preempt the others.
    attempts : int
        How often a task may fail.
    slack_factor : float
        How many times its critical path a job may take.
    target_latency : float
        Seconds that a job may take besides.
    advised : bool
        Whether a service outside says which workers may run a step.
    """

    queue: QueueName
    service: ServiceId
    priority: int
    attempts: int
    slack_factor: float
    target_latency: float
    advised: bool = False


class JobRecord(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted job as the log keeps it.

    Parameters
    ----------
    accepted_at : float
        Seconds since the Unix epoch at the instance that took it.
    """

    job: JobId
    policy: QueuePolicy
    spec: JobSpec
    accepted_at: float


class TaskKey(NamedTuple):
    """One task of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int
    position: int


def compute_critical_path(
    steps: tuple[Step, ...], *, only: Collection[int] | None = None
) -> Seconds:
    """Return the longest chain of estimated running times, in seconds.

    Parameters
    ----------
    only : collection of int, optional
        Steps that count; by default all.
    """
    finish: list[float] = []
    for index, step in enumerate(steps):
        start = max((finish[earlier] for earlier in step.depends_on), default=0.0)
        counts = only is None or index in only
        finish.append(start + (step.estimate if counts else 0.0))
    return Seconds(max(finish, default=0.0))

"""Jobs as callers submit them, their steps, and the policies of their queues."""

from collections.abc import Collection
from enum import Enum
from typing import Annotated, NamedTuple

import msgspec

from ..core.ids import JobId, QueueName, Seconds, ServiceId, WorkspaceId
from ..core.resources import Resources

# of jobs that were submitted without a key
NO_WORKSPACE = WorkspaceId("")
# per job; without a limit, a small body could make the process use much memory
TASKS_MAX = 20_000


class JobState(Enum):
    """State of a job as reported to its caller."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_JOB_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class Step(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A step of a job: a number of identical tasks.

    Parameters
    ----------
    count : int
        Number of tasks.
    request : Resources
        Resources of a worker that each task takes up while it runs.
    estimate : float
        Approximate running time of a task in seconds.
    depends_on : tuple of int
        Indices of the steps whose tasks must all be done before a task of this step
        may start.
    checkpoints : bool
        Whether the tasks save checkpoints and can resume from them.
    gang : bool
        Whether the tasks must all run at the same time.
    same_rack : bool
        Whether the tasks run faster if all of them are in one rack.
    label : str
        Label that a worker must have to run the tasks; empty for any worker.
    rack : str
        Rack that holds the input data; a task runs slower in any other.
    per_worker_max : int
        Maximum number of tasks of an occurrence on one worker; 0 for no limit.
    speculative : bool
        Whether several attempts of a task may run at once, of which the first to
        finish counts.
    long_running : bool
        Whether the tasks run until the job is cancelled.
    image : str
        Program that the tasks run; tasks of one image are assumed to behave alike.
    target_seconds : float
        Upper limit for the tail latency of a task that serves requests, in seconds;
        0 for tasks that serve none.
    best_effort : bool
        Whether the tasks only use processor time that other tasks leave idle.
    unavailable_max : int
        How many tasks of a long-running step may be unavailable at once because of
        the system.
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
    """Schedule of a recurring job.

    Parameters
    ----------
    times : int
        Number of occurrences.
    first : float
        Due time of the first occurrence, in seconds since the Unix epoch.
    interval : float
        Seconds between the due times of consecutive occurrences.
    """

    times: int
    first: float
    interval: float


class JobSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A job as a caller submits it.

    Parameters
    ----------
    payload : str
        Handed to each task unchanged.
    """

    payload: str
    # each step has a task; a longer array is refused before its steps are decoded
    steps: Annotated[tuple[Step, ...], msgspec.Meta(max_length=TASKS_MAX)]
    recurrence: Recurrence | None = None


class QueuePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Scheduling policy for the jobs of a queue.

    Parameters
    ----------
    priority : int
        Tasks of jobs with lower numbers are placed first.
    attempts : int
        Number of failed attempts of one task after which its job fails.
    slack_factor : float
        The due time of a job is its acceptance plus its critical path times this
        factor, plus ``target_latency``.
    target_latency : float
        Seconds added to the due time.
    advised : bool
        Whether an external service decides which workers may run a step.
    """

    queue: QueueName
    service: ServiceId
    priority: int
    attempts: int
    slack_factor: float
    target_latency: float
    advised: bool = False


class JobRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An accepted job as it is stored in the log.

    Parameters
    ----------
    accepted_at : float
        Seconds since the Unix epoch, by the clock of the instance that accepted the
        job.
    workspace : WorkspaceId
        The workspace that submitted it; empty if its route is open to all callers.
    """

    job: JobId
    policy: QueuePolicy
    spec: JobSpec
    accepted_at: float
    workspace: WorkspaceId = NO_WORKSPACE


class Caller(msgspec.Struct, frozen=True, array_like=True):
    """Who asks for a job.

    Parameters
    ----------
    workspace : WorkspaceId
        Workspace of the caller's key; empty on a route that is open to all callers.
    queue : QueueName
        The queue of the route that the call came by.
    """

    workspace: WorkspaceId
    queue: QueueName

    def may_see(self, record: JobRecord) -> bool:
        """Return whether a job exists for this caller.

        An open route shows all jobs of its queue: it may have been closed before.
        """
        if self.workspace == NO_WORKSPACE:
            return record.policy.queue == self.queue
        return record.workspace in (NO_WORKSPACE, self.workspace)


class TaskKey(NamedTuple):
    """Identifies a task: its job, occurrence, step and position within the step."""

    job: JobId
    occurrence: int
    step: int
    position: int


def fits_cap(spec: JobSpec, cap: Resources) -> bool:
    """Return whether each task of a job, and each gang as a whole, fits into a cap."""
    return all(
        (step.request * (step.count if step.gang else 1)).fits_within(cap)
        for step in spec.steps
    )


def compute_critical_path(
    steps: tuple[Step, ...], *, only: Collection[int] | None = None
) -> Seconds:
    """Return the length in seconds of the longest chain of dependent steps.

    Parameters
    ----------
    only : collection of int, optional
        Indices of the steps whose estimates are included; by default all.
    """
    finish: list[float] = []
    for index, step in enumerate(steps):
        start = max((finish[earlier] for earlier in step.depends_on), default=0.0)
        counts = only is None or index in only
        finish.append(start + (step.estimate if counts else 0.0))
    return Seconds(max(finish, default=0.0))

"""The owner's tables: jobs, their steps and tasks, workers and attempts."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from ..core.ids import AttemptNumber, JobId, Seconds, WorkerId
from ..core.resources import Resources
from ..fleet.model import WorkerEntry, WorkerState
from ..jobs.model import JobRecord, JobState, Step, TaskKey

RACK_LABEL_PREFIX = "r"
# share of the processors asked for that a serving task keeps busy
SERVING_USAGE_RATIO = 0.45


class AttemptPhase(Enum):
    """Where an attempt stands at its worker."""

    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a task, bound to a worker.

    Parameters
    ----------
    ordered_at, confirmed_at : float
        Monotonic seconds of the first order and of its confirmation.
    retry_at : float
        When an unanswered order goes out again; infinite if none is due.
    listed : bool
        Whether a list of its worker has shown it.
    moved_at : float
        When its progress last changed.
    own_load, measured_at : float
        Pressure of a serving task without what is expected of its neighbours, and
        when it was measured.
    over_since : float
        Since when its tail has been over its target; infinite if it isn't.
    """

    task: "Task"
    number: AttemptNumber
    worker: "Worker"
    phase: AttemptPhase
    ordered_at: float
    confirmed_at: float = 0.0
    retry_at: float = float("inf")
    orders_sent: int = 0
    reported: bool = False
    progress_percent: int = 0
    progressed_at: float = 0.0
    gauge: float = 0.0
    speed_percent: int = 100
    own_load: float = 0.45
    measured_at: float = float("-inf")
    over_target_since: float = float("inf")


@dataclass(slots=True, eq=False)
class Task:
    """One task of one occurrence."""

    key: TaskKey
    step: "OpenStep"
    done: bool = False
    last_attempt: int = 0
    failed_attempts: set[int] = field(default_factory=set)
    checkpoint: str = ""
    attempts: list[Attempt] = field(default_factory=list)
    avoided_workers: set[WorkerId] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class OpenStep:
    """One step of one occurrence.

    Parameters
    ----------
    waiting : list of Task
        Tasks that are bound to no worker.
    left : int
        Tasks that aren't done.
    due : float
        Seconds since the Unix epoch by which its occurrence should be done.
    tickets : dict
        Ticket and its last moment by worker, for queues that need them.
    asked, asked_at
        Workers that advice was asked on, and when it was last asked.
    waits_since : float
        Monotonic seconds at which tasks of it first found no room; infinite before.
    """

    job: "OpenJob"
    occurrence: int
    index: int
    spec: Step
    tasks: list[Task] = field(default_factory=list)
    waiting: list[Task] = field(default_factory=list)
    unfinished: int = 0
    attempts_per_worker: dict[WorkerId, int] = field(default_factory=dict)
    due: float = 0.0
    tickets: dict[WorkerId, tuple[str, float]] = field(default_factory=dict)
    asked_workers: set[WorkerId] = field(default_factory=set)
    asked_at: float = float("-inf")
    unplaced_since: float = float("inf")

    @property
    def ready(self) -> bool:
        """Whether all steps that it depends on are done."""
        steps = self.job.occurrences[self.occurrence]
        return all(steps[index].unfinished == 0 for index in self.spec.depends_on)


@dataclass(slots=True, eq=False)
class OpenJob:
    """An open job.

    Parameters
    ----------
    due : float
        Seconds since the Unix epoch by which it should be completed.
    inherited : bool
        Whether an earlier owner may have started its tasks.
    remaining : tuple, optional
        Longest chain of estimates that is left, for an occurrence and its number of
        finished steps.
    """

    record: JobRecord
    due: float
    state: JobState = JobState.QUEUED
    inherited: bool = False
    finished_below: int = 0
    created_below: int = 0
    remaining_path: tuple[tuple[int, int], Seconds] | None = None
    occurrences: dict[int, list[OpenStep]] = field(default_factory=dict)

    @property
    def job_id(self) -> JobId:
        """Return its id."""
        return self.record.job

    def list_tasks(self) -> Iterator[Task]:
        """Return the tasks of all occurrences at hand."""
        for steps in self.occurrences.values():
            for step in steps:
                yield from step.tasks


@dataclass(slots=True, eq=False)
class Worker:
    """A worker and what is committed to it.

    Parameters
    ----------
    heard_at : float
        Monotonic seconds of the newest answer; minus infinity before any.
    clock : float
        The worker's clock when it answered, in seconds.
    lapse_at : float
        Monotonic seconds after which no lease given so far can be alive.
    seen_number : int
        Highest number of an end that was taken in.
    acknowledged : int
        Highest number of an end that the log holds.
    set_aside_until : float
        No starts before this time, after refusals or failures.
    serving : int
        Thousandths of a core that serving tasks asked for.
    on_record : bool
        Whether the log names it to the next owner; there are no starts before.
    fills_changed_at : float
        Monotonic seconds at which an attempt that fills last came or went.
    pressures : dict of str to float, optional
        Pressure by serving image; None until it is measured anew.
    """

    entry: WorkerEntry
    incarnation: int
    listed: bool = True
    reachable: bool = False
    answered_at: float = float("-inf")
    clock: float = 0.0
    latest_expiry: float = float("-inf")
    last_end_number: int = 0
    acknowledged: int = 0
    attempts: dict[tuple[TaskKey, int], Attempt] = field(default_factory=dict)
    committed: Resources = Resources()
    best_effort_millicores: int = 0
    quarantined_until: float = 0.0
    consecutive_faults: int = 0
    serving_millicores: int = 0
    in_handover: bool = False
    best_effort_changed_at: float = 0.0
    pressures: dict[str, float] | None = None

    @property
    def name(self) -> WorkerId:
        """Return its id."""
        return self.entry.worker

    @property
    def rack(self) -> str:
        """Return the label that names its rack; empty if none does."""
        for label in self.entry.labels:
            if label.startswith(RACK_LABEL_PREFIX) and "-" in label:
                return label
        return ""

    @property
    def free(self) -> Resources:
        """Return what isn't committed; fills take no processors."""
        return self.entry.capacity - self.committed

    @property
    def free_millicores(self) -> int:
        """Return the thousandths of a core that are free for ordinary tasks."""
        return self.entry.capacity.millicores - self.committed.millicores

    @property
    def spare_millicores(self) -> int:
        """Return the processors left over for tasks that fill, less their demand."""
        unused = int(self.serving_millicores * (1 - SERVING_USAGE_RATIO))
        return self.free_millicores + unused - self.best_effort_millicores

    def accepts_work(self, now: float) -> bool:
        """Return whether it may be given new work at all."""
        return (
            self.listed
            and self.reachable
            and self.in_handover
            and self.entry.state is WorkerState.READY
            and now >= self.quarantined_until
        )


def bind_attempt(attempt: Attempt) -> None:
    """Enter an attempt at its worker and its task."""
    step, worker = attempt.task.step, attempt.worker
    worker.attempts[(attempt.task.key, attempt.number)] = attempt
    attempt.task.attempts.append(attempt)
    step.attempts_per_worker[worker.name] = (
        step.attempts_per_worker.get(worker.name, 0) + 1
    )
    worker.committed += count_committed(step.spec)
    worker.pressures = None
    if step.spec.fills:
        worker.best_effort_millicores += count_best_effort(attempt)
    if step.spec.target_seconds:
        worker.serving_millicores += step.spec.request.millicores


def unbind_attempt(attempt: Attempt) -> None:
    """Take an attempt from its worker and its task."""
    step, worker = attempt.task.step, attempt.worker
    if worker.attempts.pop((attempt.task.key, attempt.number), None) is None:
        return
    attempt.task.attempts.remove(attempt)
    step.attempts_per_worker[worker.name] -= 1
    worker.committed -= count_committed(step.spec)
    worker.pressures = None
    if step.spec.fills:
        worker.best_effort_millicores -= count_best_effort(attempt)
    if step.spec.target_seconds:
        worker.serving_millicores -= step.spec.request.millicores


def set_speed(attempt: Attempt, percent: int) -> None:
    """Enter another pace of an attempt that fills."""
    attempt.worker.best_effort_millicores -= count_best_effort(attempt)
    attempt.speed_percent = percent
    attempt.worker.best_effort_millicores += count_best_effort(attempt)


def count_best_effort(attempt: Attempt) -> int:
    """Return the thousandths of a core that an attempt that fills may use."""
    return attempt.task.step.spec.request.millicores * attempt.speed_percent // 100


def count_committed(step: Step) -> Resources:
    """Return what an attempt takes from its worker's capacity."""
    if step.fills:
        return Resources(0, step.request.memory_mib, step.request.accelerators)
    return step.request

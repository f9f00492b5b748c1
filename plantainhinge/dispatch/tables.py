"""The owner's tables: jobs, their steps and tasks, workers and attempts."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from ..core.ids import AttemptNumber, JobId, Seconds, WorkerId
from ..core.resources import Resources
from ..fleet.model import WorkerEntry, WorkerState
from ..jobs.model import JobRecord, JobState, Step, TaskKey

LABEL_RACK_PREFIX = "r"
# share of the processors asked for that a serving task keeps busy
SERVING_USE = 0.45


class RunPhase(Enum):
    """Where an attempt stands at its worker."""

    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class Run:
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
    attempt: AttemptNumber
    worker: "Worker"
    phase: RunPhase
    ordered_at: float
    confirmed_at: float = 0.0
    retry_at: float = float("inf")
    tries: int = 0
    listed: bool = False
    percent: int = 0
    moved_at: float = 0.0
    gauge: float = 0.0
    pace: int = 100
    own_load: float = 0.45
    measured_at: float = float("-inf")
    over_since: float = float("inf")


@dataclass(slots=True, eq=False)
class Task:
    """One task of one occurrence."""

    key: TaskKey
    step: "StepRun"
    done: bool = False
    attempt: int = 0
    failed: set[int] = field(default_factory=set)
    checkpoint: str = ""
    runs: list[Run] = field(default_factory=list)
    avoid: set[WorkerId] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class StepRun:
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

    job: "JobRun"
    occurrence: int
    index: int
    spec: Step
    tasks: list[Task] = field(default_factory=list)
    waiting: list[Task] = field(default_factory=list)
    left: int = 0
    per_worker: dict[WorkerId, int] = field(default_factory=dict)
    due: float = 0.0
    tickets: dict[WorkerId, tuple[str, float]] = field(default_factory=dict)
    asked: set[WorkerId] = field(default_factory=set)
    asked_at: float = float("-inf")
    waits_since: float = float("inf")

    @property
    def ready(self) -> bool:
        """Whether all steps that it depends on are done."""
        steps = self.job.occurrences[self.occurrence]
        return all(steps[index].left == 0 for index in self.spec.depends_on)


@dataclass(slots=True, eq=False)
class JobRun:
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
    remaining: tuple[tuple[int, int], Seconds] | None = None
    occurrences: dict[int, list[StepRun]] = field(default_factory=dict)

    @property
    def job(self) -> JobId:
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
    born: int
    listed: bool = True
    in_touch: bool = False
    heard_at: float = float("-inf")
    clock: float = 0.0
    lapse_at: float = float("-inf")
    seen_number: int = 0
    acknowledged: int = 0
    runs: dict[tuple[TaskKey, int], Run] = field(default_factory=dict)
    committed: Resources = Resources()
    filling: int = 0
    set_aside_until: float = 0.0
    faults_in_a_row: int = 0
    serving: int = 0
    on_record: bool = False
    fills_changed_at: float = 0.0
    pressures: dict[str, float] | None = None

    @property
    def name(self) -> WorkerId:
        """Return its id."""
        return self.entry.worker

    @property
    def rack(self) -> str:
        """Return the label that names its rack; empty if none does."""
        for label in self.entry.labels:
            if label.startswith(LABEL_RACK_PREFIX) and "-" in label:
                return label
        return ""

    @property
    def room(self) -> Resources:
        """Return what isn't committed; fills take no processors."""
        return self.entry.capacity - self.committed

    @property
    def room_now(self) -> int:
        """Return the thousandths of a core that are free for ordinary tasks."""
        return self.entry.capacity.millicores - self.committed.millicores

    @property
    def spare_millicores(self) -> int:
        """Return the processors left over for tasks that fill, less their demand."""
        unused = int(self.serving * (1 - SERVING_USE))
        return self.room_now + unused - self.filling

    def accepts(self, now: float) -> bool:
        """Return whether it may be given new work at all."""
        return (
            self.listed
            and self.in_touch
            and self.on_record
            and self.entry.state is WorkerState.READY
            and now >= self.set_aside_until
        )


def bind(run: Run) -> None:
    """Enter an attempt at its worker and its task."""
    step, worker = run.task.step, run.worker
    worker.runs[(run.task.key, run.attempt)] = run
    run.task.runs.append(run)
    step.per_worker[worker.name] = step.per_worker.get(worker.name, 0) + 1
    worker.committed += count_committed(step.spec)
    worker.pressures = None
    if step.spec.fills:
        worker.filling += count_filling(run)
    if step.spec.target_seconds:
        worker.serving += step.spec.request.millicores


def unbind(run: Run) -> None:
    """Take an attempt from its worker and its task."""
    step, worker = run.task.step, run.worker
    if worker.runs.pop((run.task.key, run.attempt), None) is None:
        return
    run.task.runs.remove(run)
    step.per_worker[worker.name] -= 1
    worker.committed -= count_committed(step.spec)
    worker.pressures = None
    if step.spec.fills:
        worker.filling -= count_filling(run)
    if step.spec.target_seconds:
        worker.serving -= step.spec.request.millicores


def change_pace(run: Run, percent: int) -> None:
    """Enter another pace of an attempt that fills."""
    run.worker.filling -= count_filling(run)
    run.pace = percent
    run.worker.filling += count_filling(run)


def count_filling(run: Run) -> int:
    """Return the thousandths of a core that an attempt that fills may use."""
    return run.task.step.spec.request.millicores * run.pace // 100


def count_committed(step: Step) -> Resources:
    """Return what an attempt takes from its worker's capacity."""
    if step.fills:
        return Resources(0, step.request.memory_mib, step.request.accelerators)
    return step.request

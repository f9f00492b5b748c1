"""Data model of the scheduler: jobs, steps, tasks, attempts and workers."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from ..core.ids import AttemptNumber, JobId, Seconds, WorkerId, WorkspaceId
from ..core.resources import Resources
from ..fleet.model import WorkerEntry, WorkerState
from ..jobs.model import JobRecord, JobState, Step, TaskKey
from ..jobs.records import LostAttempt
from ..jobs.spec_memory import estimate_open_memory
from ..placement.quotas import QuotaUsage
from .forecast import LoadForecast, make_forecast

RACK_LABEL_PREFIX = "r"
# share of its requested processors that a serving task uses
SERVING_USAGE_RATIO = 0.45


class AttemptPhase(Enum):
    """State of an attempt at its worker."""

    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


class HandoverMark(Enum):
    """What the record for the next owner says of a worker."""

    MISSING = "missing"
    # named as a worker on which more may have been started since
    OPEN = "open"
    # named as silent, with all that may run there
    CLOSED = "closed"


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a task, bound to a worker.

    Parameters
    ----------
    ordered_at : float
        Monotonic seconds of the first start order.
    confirmed_at : float
        Monotonic seconds at which the start or the stop was confirmed; 0 while a start
        and infinite while a stop is unconfirmed.
    incarnation : int
        Incarnation of the worker, as far as it was known, when the start was ordered.
    retry_at : float
        Monotonic seconds at which an unanswered order is sent again; infinite if
        none is due.
    reported : bool
        Whether a report of its worker has listed it.
    unsettled : bool
        Whether a repetition of its start was refused, while the first start may still
        be carried out late.
    progressed_at : float
        Monotonic seconds at which its progress last changed.
    gauge : float
        Tail latency in seconds of a serving task; cores in use of any other.
    speed_percent : int
        Share of full speed that the attempt may use; below 100 it is throttled.
    over_target_since : float
        Monotonic seconds at which its tail latency rose above the target latency;
        infinite while it is not above it.
    suspect : bool
        Whether its task was suspected of crashing workers when it started.
    """

    task: "Task"
    number: AttemptNumber
    worker: "Worker"
    phase: AttemptPhase
    ordered_at: float
    confirmed_at: float = 0.0
    incarnation: int = 0
    retry_at: float = float("inf")
    orders_sent: int = 0
    reported: bool = False
    unsettled: bool = False
    progress_percent: int = 0
    progressed_at: float = 0.0
    gauge: float = 0.0
    speed_percent: int = 100
    over_target_since: float = float("inf")
    suspect: bool = False


@dataclass(frozen=True, slots=True)
class Ticket:
    """Leave of the advice service to run a step on a worker.

    Parameters
    ----------
    expires_at : float
        Monotonic seconds from which it is of no use.
    incarnation : int
        Incarnation of the worker for which it holds.
    """

    value: str
    expires_at: float
    incarnation: int


@dataclass(slots=True, eq=False)
class Trial:
    """A worker that is kept for one attempt of a task that may crash it.

    Parameters
    ----------
    reserved_at : float
        Monotonic seconds from which nothing else has been started on the worker.
    logged : bool
        Whether the log says that the attempt is about to be ordered.
    attempt : Attempt, optional
        The attempt, once it is ordered.
    companions : list of Trial
        Trials of other members of its gang that share the worker, as there are too few
        of them.
    """

    task: "Task"
    worker: "Worker"
    reserved_at: float
    logged: bool = False
    attempt: Attempt | None = None
    companions: list["Trial"] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Task:
    """One task of one occurrence of a job.

    Parameters
    ----------
    last_attempt : int
        Number of the newest attempt; 0 before the first.
    failed_attempts : frozenset of int
        Numbers of the attempts that failed; like the next but one, not a set of its
        own, as an empty one would take half of a task's memory.
    checkpoint : str
        Newest saved progress; empty if there is none. That of a gang's member is what
        its run was started with, until a report has another.
    avoided_workers : frozenset of WorkerId
        Workers on which attempts of it failed or stalled.
    waiting_since : float
        Monotonic seconds at which it began to wait for its next attempt; minus infinity
        before its first one.
    destination : WorkerId, optional
        Worker to which its last attempt was stopped to move.
    losses : list of LostAttempt
        Attempts that ended with their workers (see ``dispatch.losses``).
    trial : Trial, optional
        The worker that is kept for its next attempt, or that runs this one apart.
    unpreferred_search_at : float
        Monotonic seconds of the next search among workers that it doesn't prefer.
    """

    key: TaskKey
    step: "OpenStep"
    done: bool = False
    last_attempt: int = 0
    failed_attempts: frozenset[int] = frozenset()
    checkpoint: str = ""
    attempts: list[Attempt] = field(default_factory=list)
    avoided_workers: frozenset[WorkerId] = frozenset()
    waiting_since: float = float("-inf")
    destination: WorkerId | None = None
    losses: list[LostAttempt] = field(default_factory=list)
    trial: Trial | None = None
    unpreferred_search_at: float = float("-inf")


@dataclass(slots=True, eq=False)
class OpenStep:
    """One step of one occurrence.

    Parameters
    ----------
    waiting : list of Task
        Tasks that are assigned to no worker.
    checkpoint : str
        Newest saved progress of a gang.
    unfinished : int
        Number of tasks that aren't done.
    attempts_per_worker : dict of WorkerId to int
        Attempts of the step that are bound to each worker.
    due : float
        Due time of its occurrence, in seconds since the Unix epoch.
    tickets : dict of WorkerId to Ticket
        Newest ticket for each worker that advice allowed, expired or not.
    asked_workers : dict of WorkerId to float
        Monotonic seconds of the newest advice on each worker.
    asked_at, advice_failed_at
        Monotonic seconds of the last request for advice, and of the last one that
        brought none.
    unplaced_since : float
        Monotonic seconds at which one of its tasks first found no worker; infinite
        before that.
    waiting_since, arrived_with_others
        Monotonic seconds at which a long-running step was first ready, infinite before
        that, and whether other such steps were at that time.
    failed_until : float
        Monotonic seconds until which it isn't placed, after an error.
    """

    job: "OpenJob"
    occurrence: int
    index: int
    spec: Step
    tasks: list[Task] = field(default_factory=list)
    waiting: list[Task] = field(default_factory=list)
    checkpoint: str = ""
    unfinished: int = 0
    attempts_per_worker: dict[WorkerId, int] = field(default_factory=dict)
    due: float = 0.0
    tickets: dict[WorkerId, Ticket] = field(default_factory=dict)
    asked_workers: dict[WorkerId, float] = field(default_factory=dict)
    asked_at: float = float("-inf")
    advice_failed_at: float = float("-inf")
    unplaced_since: float = float("inf")
    waiting_since: float = float("inf")
    arrived_with_others: bool = False
    failed_until: float = float("-inf")
    _own_load: LoadForecast | None = None

    @property
    def own_load(self) -> LoadForecast:
        """Forecast of a serving task's pressure on itself, shared by all its tasks.

        See ``dispatch.interference``. Steps that don't serve have no need of one.
        """
        if self._own_load is None:
            self._own_load = make_forecast()
        return self._own_load

    @property
    def ready(self) -> bool:
        """Whether all steps that this one depends on are done."""
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
    finished_below, created_below : int
        All occurrences below these numbers are finished, or have been created.
    remaining_paths : dict of int to float
        Cached lengths in seconds of the remaining critical paths, by occurrence; that
        of an occurrence is dropped when one of its steps is finished.
    surplus : bool
        Whether its workspace submitted it beyond its rate.
    usage : QuotaUsage
        Resources of all attempts of the cell by workspace, shared by its jobs.
    occurrence_bytes : int
        About how much memory one of its open occurrences takes up.
    """

    record: JobRecord
    due: float
    state: JobState = JobState.QUEUED
    inherited: bool = False
    finished_below: int = 0
    created_below: int = 0
    remaining_paths: dict[int, Seconds] = field(default_factory=dict)
    occurrences: dict[int, list[OpenStep]] = field(default_factory=dict)
    surplus: bool = False
    usage: QuotaUsage[WorkspaceId] = field(default_factory=QuotaUsage)
    occurrence_bytes: int = field(init=False)

    def __post_init__(self) -> None:
        self.occurrence_bytes = estimate_open_memory(self.record.spec)

    @property
    def job_id(self) -> JobId:
        """Return the job's id."""
        return self.record.job

    def list_tasks(self) -> Iterator[Task]:
        """Yield the tasks of all open occurrences."""
        for steps in self.occurrences.values():
            for step in steps:
                yield from step.tasks


@dataclass(slots=True, eq=False)
class Worker:
    """A worker and the attempts bound to it.

    Parameters
    ----------
    unreachable_since : float
        Monotonic seconds at which it was listed, restarted or left a call unanswered;
        of no meaning while it is reachable.
    answered_at : float
        Monotonic seconds of the newest answer; minus infinity before any.
    clock : float
        The worker's clock when it answered, in seconds.
    listed : bool
        Whether the directory of workers has an entry for it.
    latest_expiry : float
        Monotonic seconds by which all leases granted so far have certainly ended.
    last_end_sequence : int
        Highest sequence number of an end that was processed.
    acknowledged : int
        Highest sequence number of an end that is in the log.
    best_effort_millicores : int
        Thousandths of a core that best-effort tasks may use.
    quarantined_until : float
        Monotonic seconds before which nothing is started there, after refusals or
        failures.
    consecutive_faults, faulted_at
        Failures and refusals since the last success, and the monotonic seconds of the
        newest one (see ``dispatch.health``).
    probe : Attempt, optional
        The attempt that shows whether the worker is well again after a quarantine;
        nothing else is started there meanwhile.
    serving_millicores : int
        Thousandths of a core that serving tasks requested.
    handover : HandoverMark
        What the logged handover says of the worker. Nothing is started on it unless it
        is open there, since a new owner could not know of the attempt.
    best_effort_changed_at : float
        Monotonic seconds at which a best-effort attempt was last removed.
    warm_at : float
        Monotonic seconds before which it runs slowly, since it has just started.
    pressures : dict of str to float, optional
        Pressure by serving image; None until it is measured again.
    stuck_check_at : float
        Monotonic seconds before which none of its attempts can be stuck.
    listed_at : float
        Monotonic seconds at which this owner first found it in the directory; minus
        infinity if an earlier owner knew it.
    trial : Trial, optional
        The attempt for which it is kept; nothing else is started there meanwhile.
    suspects : int
        Attempts on it of tasks that may have crashed other workers.
    revision : int
        Number of changes that may let a waiting task fit on it.
    orphans : list of TaskKey
        Tasks that its last report listed although they aren't open. Their attempts are
        being stopped.
    """

    entry: WorkerEntry
    incarnation: int
    listed: bool = True
    reachable: bool = False
    unreachable_since: float = float("-inf")
    answered_at: float = float("-inf")
    clock: float = 0.0
    latest_expiry: float = float("-inf")
    last_end_sequence: int = 0
    acknowledged: int = 0
    attempts: dict[tuple[TaskKey, int], Attempt] = field(default_factory=dict)
    committed: Resources = Resources()
    best_effort_millicores: int = 0
    quarantined_until: float = 0.0
    consecutive_faults: int = 0
    faulted_at: float = float("-inf")
    probe: Attempt | None = None
    serving_millicores: int = 0
    handover: HandoverMark = HandoverMark.MISSING
    best_effort_changed_at: float = 0.0
    warm_at: float = float("-inf")
    pressures: dict[str, float] | None = None
    stuck_check_at: float = float("-inf")
    listed_at: float = float("-inf")
    trial: Trial | None = None
    suspects: int = 0
    revision: int = 0
    orphans: list[TaskKey] = field(default_factory=list)

    @property
    def name(self) -> WorkerId:
        """Return the worker's id."""
        return self.entry.worker

    @property
    def has_answered(self) -> bool:
        """Return whether it has; otherwise it may be another writer's entry."""
        return self.answered_at > float("-inf")

    @property
    def rack(self) -> str:
        """Return the label that names its rack; empty if there is none."""
        for label in self.entry.labels:
            if label.startswith(RACK_LABEL_PREFIX) and "-" in label:
                return label
        return ""

    @property
    def free(self) -> Resources:
        """Return the resources that no attempt has committed."""
        return self.entry.capacity - self.committed

    @property
    def free_millicores(self) -> int:
        """Return the free processors, in thousandths of a core."""
        return self.entry.capacity.millicores - self.committed.millicores

    @property
    def spare_millicores(self) -> int:
        """Return the idle processors for best-effort tasks, in thousandths of a core.

        They include the processors that serving tasks requested but leave idle.
        """
        unused = int(self.serving_millicores * (1 - SERVING_USAGE_RATIO))
        return self.free_millicores + unused - self.best_effort_millicores

    @property
    def may_have_crashed(self) -> bool:
        """Return whether it is silent without having announced that it leaves."""
        return not self.reachable and self.entry.state is not WorkerState.DRAINING

    def mark_changed(self) -> None:
        """Note that tasks may fit on the worker that didn't, or the other way round."""
        self.revision += 1
        self.pressures = None

    def accepts_work(self, now: float) -> bool:
        """Return whether new attempts may be started on the worker.

        A restarted worker may be of another kind, so its entry must be of this
        incarnation.
        """
        return (
            self.listed
            and self.entry.incarnation >= self.incarnation
            and self.reachable
            and self.handover is HandoverMark.OPEN
            and self.entry.state is WorkerState.READY
            and now >= self.quarantined_until
        )

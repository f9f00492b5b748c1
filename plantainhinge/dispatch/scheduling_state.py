"""The state that a cell's owner bases its decisions on."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..core.ids import (
    DomainId,
    Epoch,
    JobId,
    Seconds,
    ServiceId,
    WorkerId,
    WorkspaceId,
)
from ..fleet.handover import LoadCurve
from ..fleet.operator import Workspace
from ..jobs.model import JobRecord, TaskKey
from ..placement.quotas import QuotaUsage
from .leases import START_LEASE_RATIO_MIN, LeaseTerms, compute_lease
from .model import OpenJob, OpenStep, Task, Trial, Worker
from .orders import Command
from .outages import LossCause, Outage
from .throughput import LoadMeter
from .weights import ImageWeights
from .worker_pool import WorkerPool

# job, occurrence and index of a step
StepKey = tuple[JobId, int, int]
# no owner before this epoch can have granted leases
FIRST_EPOCH = Epoch(1)


@dataclass
class SchedulingState:
    """All open jobs and all workers of one cell, under one epoch.

    Parameters
    ----------
    epoch : Epoch
        The fencing token of this ownership.
    terms : LeaseTerms
        Durations of leases.
    started_at : float
        Monotonic seconds at which this ownership began.
    confirmed_at : float
        Monotonic seconds at which no later owner had taken over yet, by the newest
        answer of the log.
    closed_domains : frozenset of DomainId
        Failure domains that take no new work.
    guarded_services : frozenset of ServiceId
        Services whose workers refuse what doesn't fit into their capacity.
    workspaces : mapping of WorkspaceId to Workspace
        Caps and weights of the workspaces; empty if the site has none.
    usage : QuotaUsage
        Resources of the attempts bound to workers, by workspace.
    find_record : callable
        Returns the record of a job that isn't open any more, or None.
    answering_workers : int
        Number of workers that answered when the directory was last read.
    directory_synced_at : float
        Monotonic seconds; all directory entries written before it are known.
    fenced : bool
        Whether a worker has seen a higher epoch.
    weights : ImageWeights
        Learned interference between images.
    commands : list of Command
        Commands that are to be sent.
    dirty : dict of JobId to OpenJob
        Jobs whose progress isn't in the log yet.
    unverified_workers : set of WorkerId
        Workers that may run any attempts of an earlier owner and haven't reported yet.
    withheld_tasks : dict of WorkerId to frozenset of TaskKey
        Workers that were silent before this ownership and haven't reported yet, with
        the tasks that they may run.
    unacknowledged : dict of WorkerId to Worker
        Workers with processed ends that are still to be acknowledged.
    unplaced : dict of OpenStep to None
        Steps that may have waiting tasks, in the order in which they came.
    ended_jobs : set of JobId
        Jobs that ended under this ownership, logged or not.
    handover_written_at : float
        Monotonic seconds at which the record for the next owner was last written.
    handover_checked_at : float
        Monotonic seconds of the last check whether to write it.
    handover_refused : bool
        Whether the log refused the last handover for its size.
    is_handover_known : bool
        Whether an earlier owner's handover was read. It names all workers that may run
        attempts of earlier owners.
    moves_checked_at : float
        Monotonic seconds of the last check for throttled attempts to move.
    long_running_arrived_at : float
        Monotonic seconds at which a new long-running step was last ready.
    inherited_loads : dict
        Own loads that the earlier owner learned, of steps that aren't open yet.
    clock_offset : float
        Wall time less monotonic time, in seconds.
    periods_selected_at : float
        Monotonic seconds at which the periods of own loads were last chosen.
    consolidated_at : float
        Monotonic seconds of the last look for serving tasks to move.
    moving : set of Task
        Serving tasks that were stopped to move and don't run again yet.
    earlier_lease_max : float
        Longest lease in seconds that an earlier owner may have granted.
    earlier_leases_end : float
        Monotonic seconds by which all leases of earlier owners have certainly ended.
    logged_lease : float
        Longest lease in seconds that a later owner expects, by the newest handover;
        infinite if there is none.
    speculation_checked_at : float
        Monotonic seconds of the last check for slow attempts.
    losses : Counter of LossCause
        Attempts that were lost with their workers, by cause.
    unconfirmed_losses : dict of WorkerId to set of Task
        Tasks of which attempts ended with workers that may have been cut off.
    unlogged_trials : list of Trial
        Trials that the log doesn't tell of yet.
    outages : dict of WorkerId to Outage
        Newest outage of each worker, unless it turned out that it hadn't crashed.
    pools : dict of ServiceId to WorkerPool
        Workers that accept new work, and the searches among them.
    load : LoadMeter
        Work finished and jobs submitted of late.
    retried_at : float
        Monotonic seconds of the last try of steps that had found no worker.
    tended_at : float
        Monotonic seconds of the last look at all running attempts.
    """

    epoch: Epoch
    terms: LeaseTerms
    started_at: float
    jobs: dict[JobId, OpenJob] = field(default_factory=dict)
    workers: dict[WorkerId, Worker] = field(default_factory=dict)
    closed_domains: frozenset[DomainId] = frozenset()
    guarded_services: frozenset[ServiceId] = frozenset()
    workspaces: Mapping[WorkspaceId, Workspace] = field(default_factory=dict)
    usage: QuotaUsage[WorkspaceId] = field(default_factory=QuotaUsage)
    find_record: Callable[[JobId], JobRecord | None] = lambda job: None
    answering_workers: int = 0
    directory_synced_at: float = float("inf")
    fenced: bool = False
    weights: ImageWeights = field(default_factory=ImageWeights)
    commands: list[Command] = field(default_factory=list)
    dirty: dict[JobId, OpenJob] = field(default_factory=dict)
    unverified_workers: set[WorkerId] = field(default_factory=set)
    withheld_tasks: dict[WorkerId, frozenset[TaskKey]] = field(default_factory=dict)
    unacknowledged: dict[WorkerId, Worker] = field(default_factory=dict)
    unplaced: dict[OpenStep, None] = field(default_factory=dict)
    ended_jobs: set[JobId] = field(default_factory=set)
    handover_written_at: float = float("-inf")
    handover_checked_at: float = float("-inf")
    handover_refused: bool = False
    is_handover_known: bool = False
    moves_checked_at: float = float("-inf")
    speculation_checked_at: float = float("-inf")
    long_running_arrived_at: float = float("-inf")
    inherited_loads: dict[StepKey, LoadCurve] = field(default_factory=dict)
    clock_offset: Seconds = Seconds(0.0)
    earlier_lease_max: Seconds = Seconds(0.0)
    earlier_leases_end: float = float("inf")
    logged_lease: float = float("inf")
    periods_selected_at: float = float("-inf")
    consolidated_at: float = float("-inf")
    moving: set[Task] = field(default_factory=set)
    losses: Counter[LossCause] = field(default_factory=Counter)
    unconfirmed_losses: dict[WorkerId, set[Task]] = field(default_factory=dict)
    unlogged_trials: list[Trial] = field(default_factory=list)
    outages: dict[WorkerId, Outage] = field(default_factory=dict)
    pools: dict[ServiceId, WorkerPool] = field(default_factory=dict)
    load: LoadMeter = field(default_factory=LoadMeter)
    retried_at: float = float("-inf")
    tended_at: float = float("-inf")
    confirmed_at: float = field(init=False)

    def __post_init__(self) -> None:
        self.confirmed_at = self.started_at
        first = self.epoch <= FIRST_EPOCH
        self.earlier_lease_max = self.terms.length if first else self.terms.length_max

    def compute_lease(self, *, now: float) -> Seconds:
        """Return how many seconds a lease that is granted now may last."""
        length = Seconds(min(self.terms.length, self.logged_lease))
        return compute_lease(length, confirmed_at=self.confirmed_at, now=now)

    def may_start(self, *, now: float) -> bool:
        """Return whether new attempts may be started, by what the log confirmed."""
        length_min = START_LEASE_RATIO_MIN * self.terms.length
        return self.compute_lease(now=now) >= length_min

    @property
    def recovering(self) -> bool:
        """Whether each inherited task may still run under an earlier owner."""
        return bool(self.unverified_workers)

    def measure_unconfirmed(self, *, now: float) -> Seconds:
        """Return the seconds since another owner was last ruled out."""
        return Seconds(max(0.0, now - self.confirmed_at))

    def mark_verified(self, worker: WorkerId) -> None:
        """Note that all that a worker runs is known."""
        self.unverified_workers.discard(worker)
        self.withheld_tasks.pop(worker, None)

    def list_withheld(self) -> frozenset[TaskKey]:
        """Return the tasks that may still run on a worker that was silent before."""
        return frozenset().union(*self.withheld_tasks.values())

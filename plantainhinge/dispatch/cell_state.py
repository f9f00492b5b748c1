"""What the decisions of a cell work on."""

from dataclasses import dataclass, field

from ..core.ids import DomainId, Epoch, JobId, Seconds, WorkerId
from .leases import LeaseTerms
from .model import OpenJob, Worker
from .orders import Command
from .weights import ImageWeights

# nobody can have given leases before it
FIRST_EPOCH = Epoch(1)


@dataclass
class CellState:
    """All open jobs and all workers of one cell, under one epoch.

    Parameters
    ----------
    epoch : Epoch
        The fencing token of this ownership.
    terms : LeaseTerms
        How leases are given.
    started : float
        Monotonic seconds at which this ownership began.
    closed_domains : frozenset of DomainId
        Failure domains that take no new work.
    fenced : bool
        Whether a worker has seen a higher epoch.
    weights : ImageWeights
        How much images disturb each other.
    commands : list of Command
        Orders that are to go out.
    dirty : dict of JobId to JobRun
        Jobs whose progress the log doesn't hold yet.
    unseen : set of WorkerId
        Workers that may run what an earlier owner started there.
    acks_due : bool
        Whether ends were taken in that workers may soon forget.
    ended : set of JobId
        Jobs that ended under this ownership, whether the log holds that or not.
    handover_at : float
        Monotonic seconds at which the record for the next owner was last written.
    moved_at : float
        Monotonic seconds at which moves of slowed attempts were last looked for.
    earlier_lease : float
        Longest lease in seconds that an earlier owner may have given.
    copied_at : float
        Monotonic seconds at which slow attempts to copy were last looked for.
    """

    epoch: Epoch
    terms: LeaseTerms
    started_at: float
    jobs: dict[JobId, OpenJob] = field(default_factory=dict)
    workers: dict[WorkerId, Worker] = field(default_factory=dict)
    closed_domains: frozenset[DomainId] = frozenset()
    fenced: bool = False
    weights: ImageWeights = field(default_factory=ImageWeights)
    commands: list[Command] = field(default_factory=list)
    dirty: dict[JobId, OpenJob] = field(default_factory=dict)
    unverified_workers: set[WorkerId] = field(default_factory=set)
    acks_due: bool = False
    ended_jobs: set[JobId] = field(default_factory=set)
    handover_written_at: float = float("-inf")
    moves_checked_at: float = float("-inf")
    speculation_checked_at: float = float("-inf")
    earlier_lease_max: Seconds = Seconds(0.0)

    def __post_init__(self) -> None:
        first = self.epoch <= FIRST_EPOCH
        self.earlier_lease_max = self.terms.length if first else self.terms.length_max

    @property
    def recovering(self) -> bool:
        """Whether a worker may still run what an earlier owner started."""
        return bool(self.unverified_workers)

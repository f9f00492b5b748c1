"""Admission control: which jobs an instance refuses while capacity is short.

The owner of the cell measures, and sends a digest to the instances; each of them
decides by the newest one it has. Without a recent digest every job is admitted. A job
is refused before anything is written, so a refused job has certainly not run.

Three kinds of jobs are refused: those that would wait until their callers hardly gain
from them any more, those that a workspace submits beyond its rate while such jobs of it
already wait, and those for which the owner has no memory.
"""

from collections import Counter as Totals
from dataclasses import dataclass, field
from enum import Enum
from random import Random

import msgspec

from ..core.errors import CorruptRecordError
from ..core.ids import Epoch, Seconds, ServiceId, WorkspaceId
from ..core.packing import DECODING_ERRORS
from .model import JobSpec, QueuePolicy, compute_critical_path
from .spec_memory import estimate_memory, estimate_open_memory

# a job is of little use to its caller after this multiple of the time allowed for it
OVERDUE_FACTOR = 3.0
DIGEST_AGE_SECONDS_MAX = 3.0
RETRY_SECONDS_MIN = 1.0
RETRY_SECONDS_MAX = 30.0
# callers that are refused at the same time are spread over this share of their wait
RETRY_SPREAD_RATIO = 0.5
MEMORY_BYTES_MAX = 80_000_000
# of the memory that is left, for one job
MEMORY_RATIO_MAX = 0.5
# of all memory, up to which a job is small
SMALL_RATIO = 0.001
MEMORY_RETRY_SECONDS = 5.0
# time in which a job that was admitted reaches the owner's digests
VISIBLE_SECONDS = 3.0


class RefusalCause(Enum):
    """Why a job was refused."""

    TOO_LATE = "too-late"
    OVER_RATE = "over-rate"
    NO_MEMORY = "no-memory"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal, and when the caller should try again.

    Parameters
    ----------
    retry_after : float
        Seconds after which there should be capacity.
    """

    cause: RefusalCause
    retry_after: Seconds


class QueueDelay(msgspec.Struct, frozen=True, array_like=True):
    """How long a new job waits for its first start.

    Parameters
    ----------
    priority : int
        Holds for this priority and those that are placed before it.
    seconds : float
        Expected wait; queues without an entry have none.
    """

    service: ServiceId
    priority: int
    seconds: float


class WorkspaceLimit(msgspec.Struct, frozen=True, array_like=True):
    """A workspace that submits more than its rate.

    Parameters
    ----------
    admit_ratio : float
        Share of its jobs that is within its rate.
    retry_after : float
        Seconds until what it has submitted beyond its rate is worked off.
    """

    workspace: WorkspaceId
    admit_ratio: float
    retry_after: float


class AdmissionDigest(msgspec.Struct, frozen=True, array_like=True):
    """What instances need to know of the cell's load.

    Parameters
    ----------
    sequence : int
        Number of the digest under its epoch.
    memory_bytes, memory_limit : int
        About how much memory the owner's jobs take up, and how much they may; the
        latter is 0 if it isn't known.
    """

    epoch: Epoch
    sequence: int
    delays: tuple[QueueDelay, ...] = ()
    limits: tuple[WorkspaceLimit, ...] = ()
    memory_bytes: int = 0
    memory_limit: int = 0

    @property
    def version(self) -> tuple[Epoch, int]:
        """Return what orders the digests of all owners."""
        return (self.epoch, self.sequence)


NO_DIGEST = AdmissionDigest(Epoch(0), 0)


@dataclass
class AdmissionGate:
    """Decides which jobs to admit, by the newest digest.

    Parameters
    ----------
    random : random.Random
        Spreads the times at which refused callers return.
    memory_limit : int
        Memory that the owner's jobs may take up as long as no digest says so.

    Attributes
    ----------
    digest : AdmissionDigest
        The newest digest.
    measured_at : float
        Monotonic seconds at which the owner measured it, at the latest.
    """

    random: Random = field(default_factory=Random)
    memory_limit: int = MEMORY_BYTES_MAX
    digest: AdmissionDigest = NO_DIGEST
    measured_at: float = float("-inf")
    _credits: dict[WorkspaceId, float] = field(default_factory=dict)
    # bytes of the jobs admitted here, by the second in which they were
    _admitted: Totals[int] = field(default_factory=Totals)

    def update(self, digest: AdmissionDigest, *, measured_at: float) -> None:
        """Take over a digest, unless it is older than the one known."""
        if digest.version < self.digest.version:
            return
        self.digest = digest
        self.measured_at = max(self.measured_at, measured_at)

    def is_recent(self, now: float) -> bool:
        """Return whether the digest still counts."""
        return now - self.measured_at <= DIGEST_AGE_SECONDS_MAX

    def decide(
        self, policy: QueuePolicy, spec: JobSpec, workspace: WorkspaceId, *, now: float
    ) -> Refusal | None:
        """Return why a job must be refused, or None if it is admitted."""
        refusal = None
        if self.is_recent(now):
            refusal = self._check_rate(workspace) or self._check_delay(policy, spec)
        return refusal or self._check_memory(spec, now)

    def _check_memory(self, spec: JobSpec, now: float) -> Refusal | None:
        """Admit jobs of which one takes up at most half of the memory that is left.

        So large jobs can't take the room that small ones need. The newest digest counts
        whatever its age: while there is no owner, the jobs stay.
        """
        limit = self.digest.memory_limit or self.memory_limit
        size = estimate_memory(spec) + estimate_open_memory(spec)
        if size > MEMORY_RATIO_MAX * (limit - self._measure_held(size, limit)):
            return self._refuse(RefusalCause.NO_MEMORY, MEMORY_RETRY_SECONDS)
        self._admitted[int(now)] += size
        return None

    def _measure_held(self, size: int, limit: int) -> int:
        """Return how much memory is taken, as it counts for a job of a size.

        What was admitted here may be in the digest or not until it surely is. For a
        small job it counts as if it was, so that none is refused for jobs that count
        twice.
        """
        counted_before = self.measured_at - VISIBLE_SECONDS
        for second in [each for each in self._admitted if each + 1 < counted_before]:
            del self._admitted[second]
        own, counted = self._admitted.total(), self.digest.memory_bytes
        if size <= SMALL_RATIO * limit:
            return max(own, counted)
        return own + counted

    def _check_rate(self, workspace: WorkspaceId) -> Refusal | None:
        """Admit the share of a workspace's jobs that is within its rate.

        Shares are kept by counting rather than by chance, so that a workspace with few
        calls on this instance gets its share here, too.
        """
        for limit in self.digest.limits:
            if limit.workspace != workspace:
                continue
            credit = self._credits.get(workspace, 1.0) + limit.admit_ratio
            admitted = credit >= 1.0
            self._credits[workspace] = credit - 1.0 if admitted else credit
            if not admitted:
                return self._refuse(RefusalCause.OVER_RATE, limit.retry_after)
        return None

    def _check_delay(self, policy: QueuePolicy, spec: JobSpec) -> Refusal | None:
        if any(step.long_running for step in spec.steps) or spec.recurrence:
            return None
        delay = max(
            (
                each.seconds
                for each in self.digest.delays
                if each.service == policy.service and each.priority <= policy.priority
            ),
            default=0.0,
        )
        path = compute_critical_path(spec.steps)
        allowed = policy.slack_factor * path + policy.target_latency
        excess = delay + path - OVERDUE_FACTOR * allowed
        if excess <= 0:
            return None
        return self._refuse(RefusalCause.TOO_LATE, excess)

    def _refuse(self, cause: RefusalCause, wait: float) -> Refusal:
        seconds = min(RETRY_SECONDS_MAX, max(RETRY_SECONDS_MIN, wait))
        spread = 1.0 + RETRY_SPREAD_RATIO * self.random.random()
        return Refusal(cause, Seconds(seconds * spread))


def encode_digest(digest: AdmissionDigest) -> bytes:
    """Return a digest as it is sent to another instance."""
    return msgspec.msgpack.encode(digest)


def decode_digest(value: bytes) -> AdmissionDigest:
    """Decode a digest.

    Raises
    ------
    CorruptRecordError
        If the value is not an encoded digest.
    """
    try:
        return msgspec.msgpack.decode(value, type=AdmissionDigest)
    except DECODING_ERRORS as error:
        raise CorruptRecordError(str(error), step="admission.decode") from error

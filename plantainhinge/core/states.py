"""States, outcomes, classes and roles, as stored in records and messages."""

from enum import Enum


class Outcome(Enum):
    """The outcome of a request as reported to its caller."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class TaskClass(Enum):
    """Whether a task is a service replica or a batch job."""

    LATENCY_CRITICAL = "latency-critical"
    BATCH = "batch"


class TaskState(Enum):
    """State of a task in its ledger."""

    WAITING = "waiting"
    ASSIGNED = "assigned"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_TASK_STATES = frozenset(
    {TaskState.FINISHED, TaskState.FAILED, TaskState.CANCELLED}
)


class AttemptOutcome(Enum):
    """How an attempt ended."""

    FINISHED = "finished"
    FAILED = "failed"
    EVICTED = "evicted"
    LOST = "lost"
    DECLINED = "declined"
    CANCELLED = "cancelled"


class ClaimState(Enum):
    """State of the claim on a non-idempotent request."""

    HELD = "held"
    SETTLED = "settled"
    RELEASED = "released"


class DomainState(Enum):
    """Whether the operators allow work in a failure domain."""

    IN = "in"
    OUT = "out"


class InstanceState(Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceRole(Enum):
    """Role of an instance in the platform's list."""

    ENTRY = "entry"
    WORKER = "worker"


class DaemonRole(Enum):
    """The daemon that a process runs."""

    GATEWAY = "gateway"
    SCHEDULER = "scheduler"


class PeerState(Enum):
    """Membership state of a peer.

    For the same incarnation, a state overrides those declared before it.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"

    @property
    def rank(self) -> int:
        """Return the precedence of the state; the higher one overrides."""
        return list(PeerState).index(self)

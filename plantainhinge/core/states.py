"""The finite states that entities move through."""

from enum import Enum


class Outcome(Enum):
    """What a caller is told about one request."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class TaskClass(Enum):
    """Whether a task serves requests or works through a batch."""

    LATENCY_CRITICAL = "latency-critical"
    BATCH = "batch"


class TaskState(Enum):
    """Where a task stands in its ledger."""

    WAITING = "waiting"
    ASSIGNED = "assigned"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_TASK_STATES = frozenset(
    {TaskState.FINISHED, TaskState.FAILED, TaskState.CANCELLED}
)


class AttemptState(Enum):
    """Where one attempt stands in its cell."""

    PLACED = "placed"
    RUNNING = "running"
    STOPPING = "stopping"
    CLOSED = "closed"


class AttemptOutcome(Enum):
    """How an attempt was closed."""

    FINISHED = "finished"
    FAILED = "failed"
    EVICTED = "evicted"
    LOST = "lost"
    DECLINED = "declined"
    CANCELLED = "cancelled"


class ClaimState(Enum):
    """Where the claim of a non-idempotent request stands."""

    HELD = "held"
    SETTLED = "settled"
    RELEASED = "released"


class DomainState(Enum):
    """Whether operators let a failure domain take work."""

    IN = "in"
    OUT = "out"


class InstanceState(Enum):
    """What the platform's list says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceRole(Enum):
    """What an instance on the platform's list is for."""

    ENTRY = "entry"
    WORKER = "worker"


class DaemonRole(Enum):
    """Which daemon a process is."""

    GATEWAY = "gateway"
    SCHEDULER = "scheduler"


class PeerState(Enum):
    """What is believed of a peer; a later one outweighs an earlier one."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"

    @property
    def rank(self) -> int:
        """Return the place in the order of outweighing."""
        return list(PeerState).index(self)

"""The order in which a failure domain that was taken out is emptied.

Batch work that the other domains have room for moves at once, highest priority
first. What they cannot carry works on until the grace time ends and is then
checkpointed and stopped. Service replicas stay until the grace time ends, so that
their replacements come up before they go.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..core.ids import AttemptNumber, Seconds, TaskId
from ..core.registry import Registry
from ..core.resources import Resources
from ..core.states import TaskClass


@dataclass(frozen=True)
class DrainLimits:
    """How long and how fast a domain is emptied.

    Parameters
    ----------
    grace_seconds : float
        From when the domain was seen to be out until all is stopped.
    first_stops, stops_per_second : float
        At most ``first_stops + stops_per_second * age`` attempts are stopped
        before the grace time ends.
    """

    grace_seconds: float = 20.0
    initial_stops: float = 8.0
    stops_per_second: float = 20.0


@dataclass(frozen=True)
class DrainingAttempt:
    """An open attempt of the leaving domain."""

    task: TaskId
    attempt: AttemptNumber
    task_class: TaskClass
    priority: int
    resources: Resources
    has_replacement: bool = False


@dataclass
class DrainState:
    """When the domain was seen to leave, and what was stopped since."""

    limits: DrainLimits = DrainLimits()
    since: Seconds | None = None
    moved: Resources = Resources()
    stopped: int = 0

    def update(self, is_out: bool, now: Seconds) -> None:
        """Note whether the domain is out; coming back ends the drain."""
        if not is_out:
            self.since = None
        elif self.since is None:
            self.since = now
            self.moved = Resources()
            self.stopped = 0


DrainPolicy = Callable[
    [Iterable[DrainingAttempt], Resources, DrainState, Seconds], list[TaskId]
]
DRAIN_POLICIES: Registry[DrainPolicy] = Registry("drain order")


@DRAIN_POLICIES.register("at-once")
def stop_all(
    rows: Iterable[DrainingAttempt], room: Resources, table: DrainState, now: Seconds
) -> list[TaskId]:
    """Stop everything at once."""
    return [row.task for row in rows]


@DRAIN_POLICIES.register("by-priority")
def stop_by_priority(
    rows: Iterable[DrainingAttempt], room: Resources, table: DrainState, now: Seconds
) -> list[TaskId]:
    """Stop what the other domains can carry, and the rest when the grace ends.

    Parameters
    ----------
    rows
        Attempts that are open and not stopping yet.
    room : Resources
        What the other domains had free when the drain began.
    """
    if table.since is None:
        return []
    age = now - table.since
    ordered = sorted(rows, key=_rank)
    if age >= table.limits.grace_seconds:
        return [row.task for row in ordered]
    left = int(table.limits.initial_stops + table.limits.stops_per_second * age)
    left -= table.stopped
    stopped: list[TaskId] = []
    for row in ordered:
        if len(stopped) >= left:
            break
        if not _can_move(row, room - table.moved):
            continue
        if row.task_class is TaskClass.BATCH:
            table.moved = table.moved + row.resources
        stopped.append(row.task)
    table.stopped += len(stopped)
    return stopped


def _can_move(row: DrainingAttempt, room: Resources) -> bool:
    if row.task_class is TaskClass.LATENCY_CRITICAL:
        return row.has_replacement
    return row.resources.fits_within(room)


def _rank(row: DrainingAttempt) -> tuple[bool, int]:
    return (row.task_class is not TaskClass.LATENCY_CRITICAL, -row.priority)

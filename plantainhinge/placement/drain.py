"""Order in which attempts are stopped in a failure domain that was taken out.

Batch attempts that fit into the free capacity of the other domains are stopped at
once, highest priority first, to be restarted there. The others keep running until
the grace period ends and are then checkpointed and stopped. Service replicas run
until their replacements are up, but no longer than the grace period.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..core.ids import AttemptNumber, Seconds, TaskId
from ..core.registry import Registry
from ..core.resources import Resources
from ..core.states import TaskClass


@dataclass(frozen=True)
class DrainLimits:
    """Duration and rate of a drain.

    Parameters
    ----------
    grace_seconds : float
        Time from when the domain was first seen out of service until all attempts
        are stopped.
    initial_stops, stops_per_second : float
        At most ``initial_stops + stops_per_second * age`` attempts are stopped
        before the grace period ends.
    """

    grace_seconds: float = 20.0
    initial_stops: float = 8.0
    stops_per_second: float = 20.0


@dataclass(frozen=True)
class DrainingAttempt:
    """An open attempt in the domain that is drained."""

    task: TaskId
    attempt: AttemptNumber
    task_class: TaskClass
    priority: int
    resources: Resources
    has_replacement: bool = False


@dataclass
class DrainState:
    """Start of the current drain and what was stopped since.

    Parameters
    ----------
    since : Seconds or None
        When the domain was first seen out of service; None if it is in service.
    moved : Resources
        Resources that the stopped batch attempts will use in other domains.
    stopped : int
        Attempts stopped before the end of the grace period.
    """

    limits: DrainLimits = DrainLimits()
    since: Seconds | None = None
    moved: Resources = Resources()
    stopped: int = 0

    def update(self, is_out: bool, now: Seconds) -> None:
        """Start a drain when the domain leaves service; end it when it returns."""
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
    attempts: Iterable[DrainingAttempt],
    free: Resources,
    state: DrainState,
    now: Seconds,
) -> list[TaskId]:
    """Stop all attempts at once."""
    return [attempt.task for attempt in attempts]


@DRAIN_POLICIES.register("by-priority")
def stop_by_priority(
    attempts: Iterable[DrainingAttempt],
    free: Resources,
    state: DrainState,
    now: Seconds,
) -> list[TaskId]:
    """Stop what fits into the other domains, and the rest after the grace period.

    Parameters
    ----------
    attempts : iterable of DrainingAttempt
        Open attempts that aren't being stopped yet.
    free : Resources
        Free resources of the other domains when the drain began.
    """
    if state.since is None:
        return []
    age = now - state.since
    ordered = sorted(attempts, key=_get_rank)
    if age >= state.limits.grace_seconds:
        return [attempt.task for attempt in ordered]
    allowed = int(state.limits.initial_stops + state.limits.stops_per_second * age)
    allowed -= state.stopped
    stopped: list[TaskId] = []
    for attempt in ordered:
        if len(stopped) >= allowed:
            break
        if not _can_stop_early(attempt, free - state.moved):
            continue
        if attempt.task_class is TaskClass.BATCH:
            state.moved = state.moved + attempt.resources
        stopped.append(attempt.task)
    state.stopped += len(stopped)
    return stopped


def _can_stop_early(attempt: DrainingAttempt, free: Resources) -> bool:
    if attempt.task_class is TaskClass.LATENCY_CRITICAL:
        return attempt.has_replacement
    return attempt.resources.fits_within(free)


def _get_rank(attempt: DrainingAttempt) -> tuple[bool, int]:
    return (attempt.task_class is not TaskClass.LATENCY_CRITICAL, -attempt.priority)

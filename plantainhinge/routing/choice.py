"""Load balancing: which target a request is sent to."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..core.ids import Seconds
from ..core.registry import Registry
from .targets import TargetRow, estimate_response_time


@dataclass(frozen=True, slots=True)
class ChoiceContext:
    """What a choice of target may use besides the targets.

    Parameters
    ----------
    typical_latency : float
        Seconds in which an idle target of the service responds.
    draws : tuple of float
        Four random numbers, uniform in [0, 1).
    turn : int
        Number of this choice, for round-robin.
    """

    typical_latency: float
    now: Seconds
    draws: tuple[float, float, float, float]
    turn: int = 0


Choice = Callable[[Sequence[TargetRow], ChoiceContext], TargetRow]
CHOICES: Registry[Choice] = Registry("choice of target")


@CHOICES.register("random")
def choose_random(rows: Sequence[TargetRow], context: ChoiceContext) -> TargetRow:
    """Return a target picked uniformly at random."""
    return rows[int(context.draws[0] * len(rows))]


@CHOICES.register("round-robin")
def choose_round_robin(rows: Sequence[TargetRow], context: ChoiceContext) -> TargetRow:
    """Return the next target in turn."""
    return rows[context.turn % len(rows)]


@CHOICES.register("two-choices")
def choose_better_of_two(
    rows: Sequence[TargetRow], context: ChoiceContext
) -> TargetRow:
    """Return the one of two random targets that is expected to respond sooner.

    The power of two choices (Mitzenmacher, 2001).
    """
    return _choose_from_pair(rows, context.draws[0], context.draws[1], context)


@CHOICES.register("local-two-choices")
def choose_local_first(rows: Sequence[TargetRow], context: ChoiceContext) -> TargetRow:
    """Return the better of two local targets, unless it is slow.

    Targets in other failure domains are considered only if the local one is
    expected to take twice the typical latency or more, or if none is available.
    """
    local = [row for row in rows if row.local]
    if not local:
        return choose_better_of_two(rows, context)
    nearby = _choose_from_pair(local, context.draws[2], context.draws[3], context)
    if (
        estimate_response_time(nearby, context.typical_latency, context.now)
        < 2.0 * context.typical_latency
    ):
        return nearby
    return _choose_faster(nearby, choose_better_of_two(rows, context), context)


def _choose_from_pair(
    rows: Sequence[TargetRow], first: float, second: float, context: ChoiceContext
) -> TargetRow:
    count = len(rows)
    if count == 1:
        return rows[0]
    one = int(first * count)
    other = (one + 1 + int(second * (count - 1))) % count
    return _choose_faster(rows[one], rows[other], context)


def _choose_faster(
    first: TargetRow, second: TargetRow, context: ChoiceContext
) -> TargetRow:
    first_seconds = estimate_response_time(first, context.typical_latency, context.now)
    second_seconds = estimate_response_time(
        second, context.typical_latency, context.now
    )
    return first if first_seconds <= second_seconds else second

"""Which target a request goes to."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..core.ids import Seconds
from ..core.registry import Registry
from .targets import TargetRow, estimate_response_time


@dataclass(frozen=True, slots=True)
class ChoiceContext:
    """What a choice may use besides the targets.

    Parameters
    ----------
    typical : float
        Seconds that an idle target of the service takes.
    draws : tuple of float
        Four uniform numbers in [0, 1).
    turn : int
        Rises by one with each choice.
    """

    typical_latency: float
    now: Seconds
    draws: tuple[float, float, float, float]
    turn: int = 0


Choice = Callable[[Sequence[TargetRow], ChoiceContext], TargetRow]
CHOICES: Registry[Choice] = Registry("choice of target")


@CHOICES.register("random")
def choose_random(rows: Sequence[TargetRow], context: ChoiceContext) -> TargetRow:
    """Return any target."""
    return rows[int(context.draws[0] * len(rows))]


@CHOICES.register("round-robin")
def choose_round_robin(rows: Sequence[TargetRow], context: ChoiceContext) -> TargetRow:
    """Return the targets one after the other."""
    return rows[context.turn % len(rows)]


@CHOICES.register("two-choices")
def choose_better_of_two(
    rows: Sequence[TargetRow], context: ChoiceContext
) -> TargetRow:
    """Return the target with the shorter expected wait of two at random.

    The power of two choices (Mitzenmacher, 2001).
    """
    return _choose_from_pair(rows, context.draws[0], context.draws[1], context)


@CHOICES.register("local-two-choices")
def choose_local_first(rows: Sequence[TargetRow], context: ChoiceContext) -> TargetRow:
    """Return the better of two local targets unless two of all promise less.

    All are looked at only if the local one is slow or has no free slot.
    """
    local = [row for row in rows if row.local]
    if not local:
        return choose_better_of_two(rows, context)
    near = _choose_from_pair(local, context.draws[2], context.draws[3], context)
    if (
        estimate_response_time(near, context.typical_latency, context.now)
        < 2.0 * context.typical_latency
    ):
        return near
    return _choose_faster(near, choose_better_of_two(rows, context), context)


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
    wait = estimate_response_time(first, context.typical_latency, context.now)
    other = estimate_response_time(second, context.typical_latency, context.now)
    return first if wait <= other else second

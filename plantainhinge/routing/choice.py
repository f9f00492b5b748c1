"""Which target a request goes to."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..core.ids import Seconds
from ..core.registry import Registry
from .targets import TargetRow, estimate_wait


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

    typical: float
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
def choose_in_turn(rows: Sequence[TargetRow], context: ChoiceContext) -> TargetRow:
    """Return the targets one after the other."""
    return rows[context.turn % len(rows)]


@CHOICES.register("two-choices")
def choose_of_two(rows: Sequence[TargetRow], context: ChoiceContext) -> TargetRow:
    """Return the target with the shorter expected wait of two at random.

    The power of two choices (Mitzenmacher, 2001).
    """
    return _pick(rows, context.draws[0], context.draws[1], context)


@CHOICES.register("local-two-choices")
def choose_near(rows: Sequence[TargetRow], context: ChoiceContext) -> TargetRow:
    """Return the better of two local targets unless two of all promise less.

    All are looked at only if the local one is slow or has no free slot.
    """
    local = [row for row in rows if row.local]
    if not local:
        return choose_of_two(rows, context)
    near = _pick(local, context.draws[2], context.draws[3], context)
    if estimate_wait(near, context.typical, context.now) < 2.0 * context.typical:
        return near
    return _take_shorter(near, choose_of_two(rows, context), context)


def _pick(
    rows: Sequence[TargetRow], first: float, second: float, context: ChoiceContext
) -> TargetRow:
    count = len(rows)
    if count == 1:
        return rows[0]
    one = int(first * count)
    other = (one + 1 + int(second * (count - 1))) % count
    return _take_shorter(rows[one], rows[other], context)


def _take_shorter(
    first: TargetRow, second: TargetRow, context: ChoiceContext
) -> TargetRow:
    wait = estimate_wait(first, context.typical, context.now)
    other = estimate_wait(second, context.typical, context.now)
    return first if wait <= other else second

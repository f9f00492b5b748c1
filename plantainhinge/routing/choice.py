"""Which target a request goes to."""

from collections.abc import Callable, Sequence

from ..core.registry import Registry
from .targets import TargetRow

Choice = Callable[[Sequence[TargetRow], float], TargetRow]
CHOICES: Registry[Choice] = Registry("choice of target")


@CHOICES.register("random")
def choose_random(rows: Sequence[TargetRow], draw: float) -> TargetRow:
    """Return any target; ``draw`` is uniform in [0, 1)."""
    return rows[int(draw * len(rows))]


@CHOICES.register("two-choices")
def choose_of_two(rows: Sequence[TargetRow], draw: float) -> TargetRow:
    """Return the target with the shorter expected wait of two at random.

    The power of two choices (Mitzenmacher, 2001).
    """
    count = len(rows)
    pair = int(draw * count * count)
    first = rows[pair // count]
    second = rows[pair % count]
    return min(first, second, key=estimate_wait)


def estimate_wait(row: TargetRow) -> float:
    """Return the expected seconds until a further request is answered."""
    ahead = max(row.in_flight, row.reported)
    return row.latency * (ahead + 1)

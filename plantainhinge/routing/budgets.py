"""Budgets that keep retries and hedges to a share of recent requests."""

from collections.abc import Callable
from dataclasses import dataclass

from ..core.registry import Registry

RETRY_SHARE = 0.1
SAVED_RETRIES_MAX = 10.0
ATTEMPTS_MAX = 3
HEDGE_LATENCIES = 8.0
SHORTEST_HEDGE_SECONDS = 0.02


@dataclass
class Budget:
    """Further attempts that recent requests have earned.

    Parameters
    ----------
    saved : float
        Attempts that may be made now; never above ``SAVED_RETRIES_MAX``.
    """

    saved: float = SAVED_RETRIES_MAX


Spending = Callable[[Budget], bool]
SPENDINGS: Registry[Spending] = Registry("retry budget")


def earn(budget: Budget) -> None:
    """Count a request that came in."""
    budget.saved = min(SAVED_RETRIES_MAX, budget.saved + RETRY_SHARE)


@SPENDINGS.register("share")
def spend(budget: Budget) -> bool:
    """Take one further attempt from the budget; return whether it had one."""
    if budget.saved < 1.0:
        return False
    budget.saved -= 1.0
    return True


@SPENDINGS.register("none")
def spend_nothing(budget: Budget) -> bool:
    """Allow no further attempt."""
    return False


@SPENDINGS.register("unbounded")
def spend_freely(budget: Budget) -> bool:
    """Allow every further attempt."""
    return True


def time_hedge(typical: float) -> float:
    """Return after how many seconds without an answer a hedge is worthwhile."""
    return max(SHORTEST_HEDGE_SECONDS, HEDGE_LATENCIES * typical)

"""Budgets that keep retries and hedges to a share of recent requests."""

from collections.abc import Callable
from dataclasses import dataclass

from ..core.registry import Registry

RETRY_RATIO = 0.1
BUDGET_TOKENS_MAX = 10.0
ATTEMPTS_MAX = 3
HEDGE_LATENCY_MULTIPLE = 8.0
HEDGE_MIN_DELAY_SECONDS = 0.02


@dataclass
class RetryBudget:
    """Further attempts that recent requests have earned.

    Parameters
    ----------
    saved : float
        Attempts that may be made now; never above ``SAVED_RETRIES_MAX``.
    """

    tokens: float = BUDGET_TOKENS_MAX


RetryPolicy = Callable[[RetryBudget], bool]
RETRY_POLICIES: Registry[RetryPolicy] = Registry("retry budget")


def add_request(budget: RetryBudget) -> None:
    """Count a request that came in."""
    budget.tokens = min(BUDGET_TOKENS_MAX, budget.tokens + RETRY_RATIO)


@RETRY_POLICIES.register("share")
def spend(budget: RetryBudget) -> bool:
    """Take one further attempt from the budget; return whether it had one."""
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


@RETRY_POLICIES.register("none")
def spend_never(budget: RetryBudget) -> bool:
    """Allow no further attempt."""
    return False


@RETRY_POLICIES.register("unbounded")
def spend_always(budget: RetryBudget) -> bool:
    """Allow every further attempt."""
    return True


def compute_hedge_delay(typical: float) -> float:
    """Return after how many seconds without an answer a hedge is worthwhile."""
    return max(HEDGE_MIN_DELAY_SECONDS, HEDGE_LATENCY_MULTIPLE * typical)

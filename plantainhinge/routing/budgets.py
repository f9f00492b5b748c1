"""Retry budgets: token buckets that bound retries and hedges by recent requests.

Without a bound, retries multiply the load on targets that are already overloaded.
"""

from collections.abc import Callable
from dataclasses import dataclass

from ..core.registry import Registry

RETRY_RATIO = 0.1
BUDGET_TOKENS_MAX = 10.0
ATTEMPTS_MAX = 3
HEDGE_LATENCY_MULTIPLE = 8.0
HEDGE_DELAY_SECONDS_MIN = 0.02


@dataclass
class RetryBudget:
    """Token bucket of a service; each retry or hedge takes one token.

    Parameters
    ----------
    tokens : float
        Further attempts that may be made now, at most ``BUDGET_TOKENS_MAX``.
    """

    tokens: float = BUDGET_TOKENS_MAX


RetryPolicy = Callable[[RetryBudget], bool]
RETRY_POLICIES: Registry[RetryPolicy] = Registry("retry budget")


def add_request(budget: RetryBudget) -> None:
    """Add the fraction of a token that one incoming request is worth."""
    budget.tokens = min(BUDGET_TOKENS_MAX, budget.tokens + RETRY_RATIO)


@RETRY_POLICIES.register("share")
def spend(budget: RetryBudget) -> bool:
    """Take one token for a retry or hedge; return whether there was one."""
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


@RETRY_POLICIES.register("none")
def spend_never(budget: RetryBudget) -> bool:
    """Allow neither retries nor hedges."""
    return False


@RETRY_POLICIES.register("unbounded")
def spend_always(budget: RetryBudget) -> bool:
    """Allow every retry and hedge, without a budget."""
    return True


def compute_hedge_delay(typical_latency: float) -> float:
    """Return how many seconds to wait for a response before a hedge is sent."""
    return max(HEDGE_DELAY_SECONDS_MIN, HEDGE_LATENCY_MULTIPLE * typical_latency)

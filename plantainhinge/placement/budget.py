"""Budgets of disturbing actions, as token buckets."""

from dataclasses import dataclass, field

from ..core.ids import Seconds


@dataclass(frozen=True)
class BudgetLimits:
    """How many actions a failure domain allows.

    Parameters
    ----------
    burst : int
        The most at once.
    per_second : float
        How fast the budget grows back.
    """

    burst: int = 4
    per_second: float = 0.05


@dataclass
class EvictionBudget:
    """Evictions that a domain may still make; a new owner starts with none."""

    limits: BudgetLimits = field(default_factory=BudgetLimits)
    tokens: float = 0.0
    refilled_at: Seconds | None = None

    def refill(self, now: Seconds) -> None:
        """Let the budget grow back up to ``now``."""
        if self.refilled_at is not None:
            grown = (now - self.refilled_at) * self.limits.per_second
            self.tokens = min(float(self.limits.burst), self.tokens + grown)
        self.refilled_at = now

    def take(self, now: Seconds, count: int = 1) -> bool:
        """Take ``count`` evictions, all or none; return whether there were enough."""
        self.refill(now)
        if self.tokens < count:
            return False
        self.tokens -= count
        return True

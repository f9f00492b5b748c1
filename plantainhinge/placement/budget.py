"""Token buckets that limit how often attempts are evicted."""

from dataclasses import dataclass, field

from ..core.ids import Seconds


@dataclass(frozen=True)
class BudgetLimits:
    """Size and rate of a token bucket, for one failure domain.

    Parameters
    ----------
    burst : int
        Maximum number of evictions at once.
    per_second : float
        Evictions that the budget regains per second.
    """

    burst: int = 4
    per_second: float = 0.05


@dataclass
class EvictionBudget:
    """Evictions that a failure domain may still make.

    The bucket starts empty, so a new owner can't evict in a burst.
    """

    limits: BudgetLimits = field(default_factory=BudgetLimits)
    tokens: float = 0.0
    refilled_at: Seconds | None = None

    def refill(self, now: Seconds) -> None:
        """Add the tokens gained since the last refill, up to the burst size."""
        if self.refilled_at is not None:
            gained = (now - self.refilled_at) * self.limits.per_second
            self.tokens = min(float(self.limits.burst), self.tokens + gained)
        self.refilled_at = now

    def take(self, now: Seconds, count: int = 1) -> bool:
        """Take ``count`` tokens; return False and take none if there are fewer."""
        self.refill(now)
        if self.tokens < count:
            return False
        self.tokens -= count
        return True

"""Processor usage of each kind, learned from reports.

The estimates are used for scores only, never for limits.
"""

from dataclasses import dataclass, field

from ..core.ids import KindId
from ..core.resources import Resources

SMOOTHING_FACTOR = 0.2
MAX_KINDS = 4096


@dataclass
class UsageTable:
    """Moving average of the millicores that attempts of a kind use."""

    millicores: dict[KindId, float] = field(default_factory=dict)

    def record(self, kind: KindId, usage: Resources) -> None:
        """Update the estimate of a kind with the usage of one attempt."""
        estimate = self.millicores.get(kind)
        if estimate is None:
            if len(self.millicores) >= MAX_KINDS:
                del self.millicores[next(iter(self.millicores))]
            estimate = float(usage.millicores)
        self.millicores[kind] = estimate + SMOOTHING_FACTOR * (
            usage.millicores - estimate
        )

    def estimate(self, kind: KindId, declared: Resources) -> float:
        """Return the expected usage in millicores.

        It is at most the declared amount, which is also the estimate for a kind
        without reports.
        """
        estimate = self.millicores.get(kind, float(declared.millicores))
        return min(estimate, float(declared.millicores))

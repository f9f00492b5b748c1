"""Real sizes of kinds, learned from usage; for scores only, never for limits."""

from dataclasses import dataclass, field

from ..core.ids import KindId
from ..core.resources import Resources

SMOOTHING_FACTOR = 0.2
MAX_KINDS = 4096


@dataclass
class UsageTable:
    """The processors that attempts of a kind really use, in millicores."""

    millicores: dict[KindId, float] = field(default_factory=dict)

    def record(self, kind: KindId, usage: Resources) -> None:
        """Move the estimate towards the usage of one attempt."""
        known = self.millicores.get(kind)
        if known is None:
            if len(self.millicores) >= MAX_KINDS:
                del self.millicores[next(iter(self.millicores))]
            known = float(usage.millicores)
        self.millicores[kind] = known + SMOOTHING_FACTOR * (usage.millicores - known)

    def estimate(self, kind: KindId, declared: Resources) -> float:
        """Return the expected use in millicores, at most what was declared."""
        learned = self.millicores.get(kind, float(declared.millicores))
        return min(learned, float(declared.millicores))

"""How fast tasks have been assigned lately."""

from dataclasses import dataclass

from ..core.ids import Seconds

STEP = 0.2


@dataclass
class Pace:
    """The mean time between assignments, aged by the time since the last."""

    gap: float = 0.0
    last_at: Seconds | None = None

    def note(self, count: int, now: Seconds) -> None:
        """Note that ``count`` tasks were assigned."""
        if count == 0:
            return
        if self.last_at is not None:
            gap = (now - self.last_at) / count
            self.gap += STEP * (gap - self.gap)
        self.last_at = now

    def find_gap(self, now: Seconds) -> float:
        """Return the seconds expected until the next assignment."""
        since = now - self.last_at if self.last_at is not None else 0.0
        return max(self.gap, since * STEP)

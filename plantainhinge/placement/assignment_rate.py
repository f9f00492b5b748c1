"""How fast tasks have been assigned lately."""

from dataclasses import dataclass

from ..core.ids import Seconds

SMOOTHING_FACTOR = 0.2


@dataclass
class AssignmentRate:
    """The mean time between assignments, aged by the time since the last."""

    mean_interval: float = 0.0
    last_at: Seconds | None = None

    def record(self, count: int, now: Seconds) -> None:
        """Note that ``count`` tasks were assigned."""
        if count == 0:
            return
        if self.last_at is not None:
            gap = (now - self.last_at) / count
            self.mean_interval += SMOOTHING_FACTOR * (gap - self.mean_interval)
        self.last_at = now

    def estimate_interval(self, now: Seconds) -> float:
        """Return the seconds expected until the next assignment."""
        since = now - self.last_at if self.last_at is not None else 0.0
        return max(self.mean_interval, since * SMOOTHING_FACTOR)

"""Recent rate of assignments, from which waiting times are estimated."""

from dataclasses import dataclass

from ..core.ids import Seconds

SMOOTHING_FACTOR = 0.2


@dataclass
class AssignmentRate:
    """Moving average of the time between assignments."""

    mean_interval: float = 0.0
    last_at: Seconds | None = None

    def record(self, count: int, now: Seconds) -> None:
        """Record that ``count`` tasks were assigned; 0 is ignored."""
        if count == 0:
            return
        if self.last_at is not None:
            interval = (now - self.last_at) / count
            self.mean_interval += SMOOTHING_FACTOR * (interval - self.mean_interval)
        self.last_at = now

    def estimate_interval(self, now: Seconds) -> float:
        """Return the expected seconds until the next assignment.

        The estimate grows with the time since the last assignment.
        """
        elapsed = now - self.last_at if self.last_at is not None else 0.0
        return max(self.mean_interval, elapsed * SMOOTHING_FACTOR)

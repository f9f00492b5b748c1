"""How much work a cell finishes, and how many jobs its workspaces submit."""

from collections import deque
from dataclasses import dataclass, field

from ..core.ids import ServiceId, WorkspaceId

# time over which finished work is averaged
FINISHED_SECONDS = 6.0
ELAPSED_SECONDS_MIN = 0.5
# time over which a workspace's rate is measured
RATE_SECONDS = 2.0
# however much a workspace submits, some of it is admitted, which shows when it stops
ADMIT_RATIO_MIN = 0.05


@dataclass
class FinishedWork:
    """Work finished lately by one service, in core seconds by estimate."""

    _rows: deque[tuple[float, float]] = field(default_factory=deque)
    _total: float = 0.0
    _started_at: float = 0.0

    def add(self, core_seconds: float, *, now: float) -> None:
        """Add the work of a task that is done."""
        if not self._rows:
            self._started_at = now
        self._rows.append((now, core_seconds))
        self._total += core_seconds

    def measure_rate(self, *, now: float) -> float:
        """Return the core seconds finished in a second."""
        while self._rows and self._rows[0][0] < now - FINISHED_SECONDS:
            self._total -= self._rows.popleft()[1]
        elapsed = max(ELAPSED_SECONDS_MIN, now - self._started_at)
        return max(0.0, self._total) / min(FINISHED_SECONDS, elapsed)


@dataclass
class SubmissionRate:
    """How many jobs a workspace submits, and which of them are beyond its rate.

    A token bucket by the times at which the jobs were accepted, so that each owner
    reaches about the same result from the same records.

    Parameters
    ----------
    admit_ratio : float
        Share of its jobs that the instances admit at present.
    """

    tokens: float = 0.0
    at: float = float("-inf")
    recent: deque[float] = field(default_factory=deque)
    admit_ratio: float = 1.0

    def note(self, accepted_at: float, *, rate: float) -> bool:
        """Count a job; return whether it is beyond the rate, in jobs a second."""
        burst = max(1.0, rate * RATE_SECONDS)
        elapsed = max(0.0, accepted_at - self.at)
        self.tokens = min(burst, self.tokens + rate * elapsed)
        self.at = max(self.at, accepted_at)
        self.recent.append(accepted_at)
        if self.tokens < 1.0:
            return True
        self.tokens -= 1.0
        return False

    def measure(self, *, wall: float) -> float:
        """Return the jobs accepted in a second of late."""
        while self.recent and self.recent[0] < wall - RATE_SECONDS:
            self.recent.popleft()
        return len(self.recent) / RATE_SECONDS

    def choose_ratio(self, rate: float, *, wall: float) -> float:
        """Return the share of jobs to admit so that they come at a rate.

        What is submitted is estimated as what was accepted under the present share.
        """
        submitted = self.measure(wall=wall) / self.admit_ratio
        return min(1.0, max(ADMIT_RATIO_MIN, rate / max(rate, submitted, 1e-9)))


@dataclass
class LoadMeter:
    """What the owner remembers to measure how short capacity is."""

    finished: dict[ServiceId, FinishedWork] = field(default_factory=dict)
    rates: dict[WorkspaceId, SubmissionRate] = field(default_factory=dict)
    sequence: int = 0

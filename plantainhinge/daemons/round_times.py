"""Measures how long the owner's rounds of decisions take, and the gaps between them."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from ..core.clock import read_monotonic
from ..core.ids import Seconds
from ..core.metrics import Distribution, Metrics
from .owner_events import DecisionRounds


@dataclass
class RoundTimes:
    """Durations since the last ``take``.

    Parameters
    ----------
    reports : int
        Reports of workers handled.
    """

    metrics: Metrics
    rounds: int = 0
    busy: float = 0.0
    longest: float = 0.0
    longest_gap: float = 0.0
    reports: int = 0
    _ended_at: float | None = None

    @contextmanager
    def measure(self) -> Iterator[None]:
        """Measure one round of decisions."""
        started = read_monotonic()
        if self._ended_at is not None:
            self.longest_gap = max(self.longest_gap, started - self._ended_at)
        try:
            yield
        finally:
            self._ended_at = read_monotonic()
            self._record(Seconds(self._ended_at - started))

    def count_report(self) -> None:
        """Count a report of a worker."""
        self.reports += 1

    def take(self) -> DecisionRounds:
        """Return the event for the time since the last call, and start anew."""
        event = DecisionRounds(
            rounds=self.rounds,
            busy_s=round(self.busy, 3),
            longest_s=round(self.longest, 3),
            longest_gap_s=round(self.longest_gap, 3),
            reports=self.reports,
        )
        self.rounds = self.reports = 0
        self.busy = self.longest = self.longest_gap = 0.0
        return event

    def _record(self, seconds: Seconds) -> None:
        self.rounds += 1
        self.busy += seconds
        self.longest = max(self.longest, seconds)
        self.metrics.observe(Distribution.DECISION, seconds)

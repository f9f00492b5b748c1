"""One daemon's share of what the platform's log can take.

All streams of a daemon commit on one timer and draw on one bucket of appends. A
refusal by the log halves the share and stretches the timer; answered appends win
it back slowly (additive increase, multiplicative decrease).
"""

from dataclasses import dataclass

from ..core.ids import Seconds

APPENDS_PER_SECOND = 20.0
APPENDS_PER_SECOND_MIN = 1.0
APPENDS_PER_SECOND_STEP = 0.25
BURST_SECONDS = 1.0
COMMIT_PERIOD_SECONDS = 0.2
COMMIT_PERIOD_SECONDS_MAX = 1.0
BACKOFF_SECONDS = 0.25
BACKOFF_SECONDS_MAX = 4.0
FAILURES_MAX = 16
CALLS_IN_FLIGHT_MAX = 4
PROBES_IN_FLIGHT_MAX = 1


@dataclass
class LogBudget:
    """Says when a daemon may call the log.

    Parameters
    ----------
    rate : float
        Appends per second that the daemon may make now.
    failures : int
        Calls that failed since the last one that was answered.
    """

    rate: float = APPENDS_PER_SECOND
    failures: int = 0
    calls_in_flight: int = 0
    _tokens: float = APPENDS_PER_SECOND * BURST_SECONDS
    _refilled_at: Seconds | None = None
    _committed_at: Seconds | None = None
    _commit_due: Seconds = Seconds(0.0)
    _append_retry_at: Seconds = Seconds(0.0)
    _probe_at: Seconds = Seconds(0.0)

    @property
    def commit_period(self) -> Seconds:
        """Return the time between two commits of records that can wait."""
        stretched = COMMIT_PERIOD_SECONDS * APPENDS_PER_SECOND / self.rate
        return Seconds(min(COMMIT_PERIOD_SECONDS_MAX, stretched))

    def may_call(self, now: Seconds) -> bool:
        """Return whether another call may go out beside those under way.

        A failing log is probed by one call at a time. Its first answer lets all
        streams go on at once.
        """
        if self.failures:
            return self.calls_in_flight < PROBES_IN_FLIGHT_MAX and now >= self._probe_at
        return self.calls_in_flight < CALLS_IN_FLIGHT_MAX

    def may_append(self, now: Seconds, *, urgent: bool) -> bool:
        """Return whether an append may go out now.

        Appends that can wait go out together, in the tick that the timer opens.
        """
        self._refill(now)
        if self._tokens < 1.0 or now < self._append_retry_at:
            return False
        if now >= self._commit_due:
            self._committed_at = now
            self._commit_due = Seconds(now + self.commit_period)
        return urgent or now == self._committed_at

    def consume_token(self) -> None:
        """Note that an append goes out."""
        self._tokens -= 1.0

    def record_answer(self) -> None:
        """Note that the log answered a call."""
        self.failures = 0

    def record_append(self) -> None:
        """Note that the log took an append."""
        self.rate = min(APPENDS_PER_SECOND, self.rate + APPENDS_PER_SECOND_STEP)

    def record_rate_limit(self, now: Seconds, retry_after: float) -> None:
        """Note that the log refused an append because of its rate limit."""
        self.rate = max(APPENDS_PER_SECOND_MIN, self.rate / 2)
        self._append_retry_at = Seconds(max(self._append_retry_at, now + retry_after))

    def record_failure(self, now: Seconds, retry_after: float, draw: float) -> Seconds:
        """Note a failed call and return when to try its stream again.

        Parameters
        ----------
        draw : float
            Uniform in [0, 1), so that daemons do not return together.
        """
        jitter = 0.5 + draw / 2
        backoff = min(BACKOFF_SECONDS_MAX, BACKOFF_SECONDS * 2.0**self.failures)
        self._probe_at = Seconds(now + backoff * jitter)
        self.failures = min(self.failures + 1, FAILURES_MAX)
        return Seconds(now + max(retry_after, BACKOFF_SECONDS * jitter))

    def _refill(self, now: Seconds) -> None:
        since = 0.0 if self._refilled_at is None else now - self._refilled_at
        self._refilled_at = now
        limit = max(1.0, self.rate * BURST_SECONDS)
        self._tokens = min(limit, self._tokens + since * self.rate)

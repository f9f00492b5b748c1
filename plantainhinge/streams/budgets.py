"""Rate limit of one daemon's calls to the platform's log.

All streams of a daemon share one commit timer and one token bucket of appends. A
rate-limit error from the log halves the rate and lengthens the timer's period;
successful appends raise the rate step by step (additive increase, multiplicative
decrease).
"""

from dataclasses import dataclass

from ..core.ids import Seconds

APPENDS_PER_SECOND = 20.0
APPENDS_PER_SECOND_MIN = 1.0
APPENDS_PER_SECOND_STEP = 0.25
BURST_SECONDS = 1.0  # a full token bucket holds the appends of this time
COMMIT_PERIOD_SECONDS = 0.2
COMMIT_PERIOD_SECONDS_MAX = 1.0
BACKOFF_SECONDS = 0.25
BACKOFF_SECONDS_MAX = 4.0
FAILURES_MAX = 16  # bounds the exponent of the backoff
CALLS_IN_FLIGHT_MAX = 4
PROBES_IN_FLIGHT_MAX = 1


@dataclass
class LogBudget:
    """Decides when a daemon may call the log.

    Parameters
    ----------
    rate : float
        Current limit, in appends per second.
    failures : int
        Calls that failed since the last answer from the log, up to
        ``FAILURES_MAX``.
    calls_in_flight : int
        Calls that have not returned; maintained by the caller.
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
        """Period between two commits of non-urgent records, in seconds."""
        stretched = COMMIT_PERIOD_SECONDS * APPENDS_PER_SECOND / self.rate
        return Seconds(min(COMMIT_PERIOD_SECONDS_MAX, stretched))

    def may_call(self, now: Seconds) -> bool:
        """Return whether another call may start beside those in flight.

        While the log is failing, it is probed with one call at a time. The first
        answer lifts the restriction for all streams.
        """
        if self.failures:
            return self.calls_in_flight < PROBES_IN_FLIGHT_MAX and now >= self._probe_at
        return self.calls_in_flight < CALLS_IN_FLIGHT_MAX

    def may_append(self, now: Seconds, *, urgent: bool) -> bool:
        """Return whether an append may be sent now.

        Non-urgent appends of all streams are sent together, in the tick in which
        the commit timer fires.
        """
        self._refill(now)
        if self._tokens < 1.0 or now < self._append_retry_at:
            return False
        if now >= self._commit_due:
            self._committed_at = now
            self._commit_due = Seconds(now + self.commit_period)
        return urgent or now == self._committed_at

    def consume_token(self) -> None:
        """Take a token from the bucket; called for each append that is sent."""
        self._tokens -= 1.0

    def record_answer(self) -> None:
        """Reset the failure count: the log answered a call."""
        self.failures = 0

    def record_append(self) -> None:
        """Raise the rate: the log stored an append."""
        self.rate = min(APPENDS_PER_SECOND, self.rate + APPENDS_PER_SECOND_STEP)

    def record_rate_limit(self, now: Seconds, retry_after: float) -> None:
        """Halve the rate: the log refused an append because of its rate limit.

        No append is sent in the ``retry_after`` seconds that the log asked for.
        """
        self.rate = max(APPENDS_PER_SECOND_MIN, self.rate / 2)
        self._append_retry_at = Seconds(max(self._append_retry_at, now + retry_after))

    def record_failure(self, now: Seconds, retry_after: float, draw: float) -> Seconds:
        """Count a failed call; return when its stream may call the log again.

        Parameters
        ----------
        draw : float
            Uniform in [0, 1), for jitter, so that daemons do not retry in step.
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

"""Workers that record their attempts as observations and that can crash."""

import itertools
import time
from dataclasses import dataclass, field

from plantainhinge.adapters.stream_http_server import HttpReply, HttpRequest
from standins.platform_worker import StandInWorker

from .observations import Observations, ObservedAttempt, parse_task, read_time


@dataclass
class SoakWorker(StandInWorker):
    """A stand-in worker that records each start and end.

    Parameters
    ----------
    start_count : int
        Number of starts of the worker.
    open_attempts : dict
        Attempts that are running.
    unacknowledged : dict of int to ObservedAttempt
        Ended attempts that the owner has not acknowledged, by the sequence
        number of their end.
    lease_expired_at : float
        When the lease was last found to have expired.
    """

    observations: Observations = field(default_factory=Observations)
    start_count: int = 1
    open_attempts: dict[tuple[str, int], ObservedAttempt] = field(default_factory=dict)
    unacknowledged: dict[int, ObservedAttempt] = field(default_factory=dict)
    lease_expired_at: float = 0.0

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Record whether the lease has expired, then handle the request."""
        now = read_time()
        if now > self.lease_end:
            self.lease_expired_at = now
        return await super().handle(request)

    def crash(self) -> None:
        """Lose all attempts and state, and start as a new incarnation."""
        for observed in self.open_attempts.values():
            observed.ended_at, observed.cause = read_time(), "crashed"
        self.open_attempts.clear()
        self.unacknowledged.clear()
        self.attempts.clear()
        self.ended.clear()
        self.closed_up_to.clear()
        self.fence, self.lease_end = 0, 0.0
        self.end_sequence = itertools.count(1)
        self.start_count += 1
        self.incarnation = max(self.incarnation + 1, int(time.time() * 1000))

    def on_start(self, task: str, attempt: int) -> None:
        """Record the start of an attempt."""
        observed = ObservedAttempt(
            parse_task(task), attempt, self.name, self.start_count, read_time()
        )
        self.open_attempts[(task, attempt)] = observed
        self.observations.attempts.append(observed)

    def on_end(self, key: tuple[str, int], cause: str, sequence: int) -> None:
        """Record the end of an attempt."""
        observed = self.open_attempts.pop(key)
        observed.ended_at, observed.cause = read_time(), cause
        self.unacknowledged[sequence] = observed

    def on_acknowledge(self, acknowledged: int) -> None:
        """Record that the owner acknowledged ends up to a sequence number.

        An acknowledgement counts only if the lease has not expired since the end.
        """
        for sequence in [
            sequence for sequence in self.unacknowledged if sequence <= acknowledged
        ]:
            observed = self.unacknowledged.pop(sequence)
            if (
                observed.ended_at is not None
                and self.lease_expired_at < observed.ended_at
            ):
                observed.acknowledged_at = read_time()

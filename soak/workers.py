"""Workers that record their attempts as observations, and that crash and shrink."""

import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from plantainhinge.adapters.stream_http_messages import HttpReply, HttpRequest
from standins.platform_worker import StandInWorker

from .observations import Observations, ObservedAttempt, parse_task, read_time

# cores of each task of the soak
TASK_MILLICORES = 1000
# word in the payload of a job whose first task crashes each worker that starts it
DEADLY = "deadly"
# from when it shrinks until no start may ignore it: the time in which instances learn
# of it, a heartbeat, and the longest time for which a fault holds an order back
SHRINK_SECONDS_MAX = 8.5


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
    on_deadly : callable
        Called when a task has started that crashes the worker.
    capacities : list of tuple of float and int
        Each capacity in thousandths of a core, with the time from which it holds.
    """

    observations: Observations = field(default_factory=Observations)
    start_count: int = 1
    open_attempts: dict[tuple[str, int], ObservedAttempt] = field(default_factory=dict)
    unacknowledged: dict[int, ObservedAttempt] = field(default_factory=dict)
    lease_expired_at: float = 0.0
    on_deadly: Callable[[], object] = lambda: None
    capacities: list[tuple[float, int]] = field(default_factory=list)

    def set_capacity(self, millicores: int) -> None:
        """Shrink or grow; the next entry in the directory shows it."""
        self.millicores = millicores
        self.capacities.append((read_time(), millicores))

    @staticmethod
    def parse_payload(payload: str) -> float:
        """Return the duration of a task in seconds."""
        return float(payload.removesuffix(DEADLY))

    async def _carry_out(self, request: HttpRequest) -> HttpReply:
        self._note_lapse()
        return await super()._carry_out(request)

    def _note_lapse(self) -> None:
        if self.read_clock() > self.lease_end:
            self.lease_expired_at = read_time()

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
        self.clock_offset = -self.clock_rate * time.monotonic()
        self.end_sequence = itertools.count(1)
        self.start_count += 1
        self.incarnation = max(self.incarnation + 1, int(time.time() * 1000))

    def on_start(self, task: str, attempt: int, payload: str) -> None:
        """Record the start of an attempt, which may crash the worker."""
        name = parse_task(task)
        observed = ObservedAttempt(
            name, attempt, self.name, self.start_count, read_time()
        )
        observed.excess_millicores = self._measure_excess()
        self.open_attempts[(task, attempt)] = observed
        self.observations.attempts.append(observed)
        if payload.endswith(DEADLY) and name.step == name.position == 0:
            self.on_deadly()

    def _measure_excess(self) -> int:
        """Return by how much what runs exceeds each capacity that may be known."""
        known = [self.millicores]
        since = read_time() - SHRINK_SECONDS_MAX
        for (_, millicores), (until, _) in itertools.pairwise(self.capacities):
            if until >= since:
                known.append(millicores)
        return len(self.attempts) * TASK_MILLICORES - max(known)

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

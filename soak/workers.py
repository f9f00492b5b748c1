"""Workers that keep account of what they run, and that crash and come back."""

import itertools
import time
from dataclasses import dataclass, field

from plantainhinge.adapters.stream_http_server import HttpReply, HttpRequest
from standins.platform_worker import StandInWorker

from .observations import Observations, ObservedAttempt, parse_task, read_time


@dataclass
class SoakWorker(StandInWorker):
    """A stand-in that writes each start and end into the accounts.

    Parameters
    ----------
    life : int
        How often it has started.
    open_attempts : dict
        Accounts of what runs.
    unnoted : dict of int to AttemptAccount
        Accounts of ends that it still lists, by the ends' numbers.
    lapsed_at : float
        When its lease was last found to have lapsed.
    """

    observations: Observations = field(default_factory=Observations)
    start_count: int = 1
    open_attempts: dict[tuple[str, int], ObservedAttempt] = field(default_factory=dict)
    unacknowledged: dict[int, ObservedAttempt] = field(default_factory=dict)
    lease_expired_at: float = 0.0

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Answer one call, noting first whether the lease has lapsed."""
        now = read_time()
        if now > self.lease_end:
            self.lease_expired_at = now
        return await super().handle(request)

    def crash(self) -> None:
        """Lose everything and start again."""
        for account in self.open_attempts.values():
            account.ended_at, account.cause = read_time(), "crashed"
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
        """Note a start."""
        account = ObservedAttempt(
            parse_task(task), attempt, self.name, self.start_count, read_time()
        )
        self.open_attempts[(task, attempt)] = account
        self.observations.attempts.append(account)

    def on_end(self, key: tuple[str, int], cause: str, number: int) -> None:
        """Note an end."""
        account = self.open_attempts.pop(key)
        account.ended_at, account.cause = read_time(), cause
        self.unacknowledged[number] = account

    def on_acknowledge(self, seen: int) -> None:
        """Note which ends the owner has taken note of."""
        for number in [number for number in self.unacknowledged if number <= seen]:
            account = self.unacknowledged.pop(number)
            if (
                account.ended_at is not None
                and self.lease_expired_at < account.ended_at
            ):
                account.acknowledged_at = read_time()

"""Workers that keep account of what they run, and that crash and come back."""

import itertools
import time
from dataclasses import dataclass, field

from plantainhinge.adapters.stream_http_server import HttpReply, HttpRequest
from standins.platform_worker import StandInWorker

from .accounts import Accounts, AttemptAccount, parse_task, read_now


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

    accounts: Accounts = field(default_factory=Accounts)
    life: int = 1
    open_attempts: dict[tuple[str, int], AttemptAccount] = field(default_factory=dict)
    unnoted: dict[int, AttemptAccount] = field(default_factory=dict)
    lapsed_at: float = 0.0

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Answer one call, noting first whether the lease has lapsed."""
        now = read_now()
        if now > self.lease_end:
            self.lapsed_at = now
        return await super().handle(request)

    def crash(self) -> None:
        """Lose everything and start again."""
        for account in self.open_attempts.values():
            account.ended_at, account.cause = read_now(), "crashed"
        self.open_attempts.clear()
        self.unnoted.clear()
        self.attempts.clear()
        self.ended.clear()
        self.barred.clear()
        self.fence, self.lease_end = 0, 0.0
        self.numbers = itertools.count(1)
        self.life += 1
        self.born = max(self.born + 1, int(time.time() * 1000))

    def on_start(self, task: str, attempt: int) -> None:
        """Note a start."""
        account = AttemptAccount(
            parse_task(task), attempt, self.name, self.life, read_now()
        )
        self.open_attempts[(task, attempt)] = account
        self.accounts.attempts.append(account)

    def on_end(self, key: tuple[str, int], cause: str, number: int) -> None:
        """Note an end."""
        account = self.open_attempts.pop(key)
        account.ended_at, account.cause = read_now(), cause
        self.unnoted[number] = account

    def on_forget(self, seen: int) -> None:
        """Note which ends the owner has taken note of."""
        for number in [number for number in self.unnoted if number <= seen]:
            account = self.unnoted.pop(number)
            if account.ended_at is not None and self.lapsed_at < account.ended_at:
                account.noted_at = read_now()

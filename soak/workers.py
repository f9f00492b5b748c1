"""Workers that keep account of what they run, and that crash and come back."""

import itertools
import time
from dataclasses import dataclass, field

from plantainhinge.adapters.stream_http_server import HttpReply, HttpRequest
from standins.platform_worker import StandInWorker

from .accounts import Accounts, RunAccount, parse_task, read_now


@dataclass
class SoakWorker(StandInWorker):
    """A stand-in that writes each start and end into the accounts.

    Parameters
    ----------
    life : int
        How often it has started.
    open_runs : dict
        Accounts of what runs.
    unnoted : dict of int to RunAccount
        Accounts of ends that it still lists, by the ends' numbers.
    lapsed_at : float
        When its lease was last found to have lapsed.
    """

    accounts: Accounts = field(default_factory=Accounts)
    life: int = 1
    open_runs: dict[tuple[str, int], RunAccount] = field(default_factory=dict)
    unnoted: dict[int, RunAccount] = field(default_factory=dict)
    lapsed_at: float = 0.0

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Answer one call, noting first whether the lease has lapsed."""
        now = read_now()
        if now > self.lease_end:
            self.lapsed_at = now
        return await super().handle(request)

    def crash(self) -> None:
        """Lose everything and start again."""
        for run in self.open_runs.values():
            run.ended_at, run.cause = read_now(), "crashed"
        self.open_runs.clear()
        self.unnoted.clear()
        self.runs.clear()
        self.ended.clear()
        self.barred.clear()
        self.fence, self.lease_end = 0, 0.0
        self.numbers = itertools.count(1)
        self.life += 1
        self.born = max(self.born + 1, int(time.time() * 1000))

    def on_start(self, task: str, attempt: int) -> None:
        """Note a start."""
        run = RunAccount(parse_task(task), attempt, self.name, self.life, read_now())
        self.open_runs[(task, attempt)] = run
        self.accounts.runs.append(run)

    def on_end(self, key: tuple[str, int], cause: str, number: int) -> None:
        """Note an end."""
        run = self.open_runs.pop(key)
        run.ended_at, run.cause = read_now(), cause
        self.unnoted[number] = run

    def on_forget(self, seen: int) -> None:
        """Note which ends the owner has taken note of."""
        for number in [number for number in self.unnoted if number <= seen]:
            run = self.unnoted.pop(number)
            if run.ended_at is not None and self.lapsed_at < run.ended_at:
                run.noted_at = read_now()

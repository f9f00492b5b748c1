"""Stand-in for a worker that follows the protocol more closely than the project's own.

It guards its capacity, ends gangs together, asks for tickets, takes time to stop a run,
can be lost for good and notes what it runs.
"""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from plantainhinge.adapters.stream_http_messages import HttpReply, HttpRequest
from standins.platform_store import StandInStore, build_json_reply

from .port import Port
from .record import Record

HEARTBEAT_SECONDS = 1.0
MISSED_HEARTBEATS = 3
TICK_SECONDS = 0.01
ENDS_MAX = 500
WAIT_MS_MAX = 2000
# how long a worker has been up when a script starts
UP_SECONDS = 500.0
LEASE_SECONDS_MAX = 10.0
KILL_SECONDS = 0.2
# after which a run fails on a grey worker
GREY_SECONDS = 0.2
GANG_WAIT_SECONDS = 3.0
# longer than any caller waits
SILENCE_SECONDS = 300.0


@dataclass
class Run:
    """One running attempt; ``seconds`` is 0 if it lasts until it is stopped."""

    task: str
    number: int
    spec: dict[str, float]
    started_at: float
    # of a gang: when all members were there
    begun_at: float | None
    stop_at: float | None = None

    @property
    def step(self) -> str:
        """Return the name of its step, which is that of its gang, if it has one."""
        return self.task.rpartition(".")[0]

    def measure_percent(self, now: float) -> int:
        """Return how much of its work is done; 100 if it lasts and is at work."""
        if self.begun_at is None:
            return 0
        seconds = self.spec["seconds"]
        return min(99, int(100 * (now - self.begun_at) / seconds)) if seconds else 100


@dataclass
class Worker:
    """A worker whose jobs say in ``spec`` how long, how large and how wide they are.

    The specification is JSON with ``seconds`` (0: until stopped), ``cpu`` (counted
    against the capacity), ``gang`` (number of members; 0: none) and ``hinted`` (1: the
    queue has a hint, so a start needs a ticket).

    Parameters
    ----------
    fleet : dict of str to Worker
        All workers of the site: the members of a gang see each other.
    tickets : callable
        Returns whether a ticket is valid for a step on a worker.
    """

    name: str
    address: str
    store: StandInStore
    record: Record
    fleet: "dict[str, Worker]"
    cpu: int = 64_000
    labels: tuple[str, ...] = ()
    tickets: Callable[[str, str, str], bool] = lambda step, worker, ticket: False
    lost: bool = False
    # whether all that it starts fails, though its health check is good
    grey: bool = False
    fence: int = 0
    lease_end: float = 0.0
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    ended: list[list[object]] = field(default_factory=list)
    closed_up_to: dict[str, int] = field(default_factory=dict)
    born: int = field(default_factory=lambda: int(1000 * (time.time() - UP_SECONDS)))
    _started_at: float = field(default_factory=lambda: time.monotonic() - UP_SECONDS)
    _ends: int = 0
    _port: Port = field(init=False)
    _tasks: list["asyncio.Task[None]"] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._port = Port(self.address, self.handle)

    async def start(self) -> None:
        """Listen, register in the directory and end what is due."""
        await self._port.start()
        self._begin()

    async def lose(self) -> None:
        """Lose power for good: nothing runs here any more, nothing is answered."""
        self.lost = True
        await self._port.go_dark()
        for run in list(self.runs.values()):
            self.record.write("gone", worker=self.name, task=run.task, run=run.number)
            self._break_gang(run)
        self.runs.clear()

    async def crash(self, seconds: float) -> None:
        """Crash, say nothing for some seconds and start again under the same id."""
        await self.lose()
        await asyncio.sleep(seconds)
        await self._port.come_back()
        self.born = int(time.time() * 1000)
        self._started_at = time.monotonic()
        self.fence, self.lease_end, self._ends = 0, 0.0, 0
        self.ended.clear()
        self.closed_up_to.clear()
        self.lost = False
        self._begin()

    def _begin(self) -> None:
        self._tasks = [
            asyncio.create_task(self._register()),
            asyncio.create_task(self._tend()),
        ]

    def read_clock(self) -> float:
        """Return the time of its own steady clock, which starts anew with it."""
        return time.monotonic() - self._started_at

    @property
    def free_cpu(self) -> int:
        """Return what is not in use, in thousandths of a core."""
        return self.cpu - int(sum(run.spec["cpu"] for run in self.runs.values()))

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Answer one call; a worker that is lost never answers."""
        if self.lost:
            await asyncio.sleep(SILENCE_SECONDS)
        if request.method == "GET":
            return HttpReply(status=200)
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return self._reply({}, 421)
        body = json.loads(request.body)
        if body.get("fencingToken", 0) < self.fence:
            return self._reply({"reason": "fence"}, 409)
        self.fence = body.get("fencingToken", 0)
        self._extend_lease(body)
        return await self._carry_out(request.path, body)

    def _extend_lease(self, body: dict) -> None:
        if "deadlineMs" in body:
            longest = self.read_clock() + LEASE_SECONDS_MAX
            end = min(body["deadlineMs"] / 1000, longest)
            self.lease_end = max(self.lease_end, end)

    async def _carry_out(self, path: str, body: dict) -> HttpReply:
        match path:
            case "/-/run-start":
                return self._start(body)
            case "/-/run-stop":
                return self._stop(body)
            case "/-/hold":
                return await self._hold(body)
        return self._reply({}) if path == "/-/pace" else HttpReply(status=404)

    def _start(self, body: dict) -> HttpReply:
        task, number = body["task"], body["attempt"]
        if (task, number) in self.runs:
            return self._reply({})
        spec = {"cpu": 0, "gang": 0, "hinted": 0} | json.loads(body["spec"])
        reason = self._find_reason(body, spec)
        self.record.write(
            "start", worker=self.name, task=task, run=number, answer=reason or 200
        )
        if reason:
            return self._reply({"reason": reason}, 409)
        now = time.monotonic()
        run = Run(task, number, spec, now, None if spec["gang"] else now)
        self.runs[task, number] = run
        self._begin_gang(run)
        return self._reply({})

    def _find_reason(self, body: dict, spec: dict) -> str:
        """Return why a start is refused; empty if it isn't."""
        if body["attempt"] <= self.closed_up_to.get(body["task"], 0):
            return "old"
        if min(body["deadlineMs"] / 1000, self.lease_end) <= self.read_clock():
            return "late"
        if spec["cpu"] > self.free_cpu:
            return "room"
        if spec["hinted"] and not self.tickets(
            body["task"].rpartition(".")[0], self.name, body.get("ticket", "")
        ):
            return "ticket"
        return ""

    def _list_gang(self, run: Run) -> "list[tuple[Worker, Run]]":
        return [
            (worker, other)
            for worker in self.fleet.values()
            for other in worker.runs.values()
            if other.step == run.step and other.number == run.number
        ]

    def _begin_gang(self, run: Run) -> None:
        members = self._list_gang(run)
        if run.spec["gang"] and len(members) == run.spec["gang"]:
            now = time.monotonic()
            for _, member in members:
                member.begun_at = now
            self.record.write("gang works", step=run.step, run=run.number)

    def _break_gang(self, run: Run) -> None:
        """End the other members of a gang's run, those of lost workers unnoticed."""
        if run.spec["gang"]:
            for worker, other in self._list_gang(run):
                if other is not run and not worker.lost:
                    worker._end(other, "broken")

    def _stop(self, body: dict) -> HttpReply:
        key = (body["task"], body["attempt"])
        self.record.write("stop", worker=self.name, task=key[0], run=key[1])
        run = self.runs.get(key)
        if run is not None and run.stop_at is None:
            run.stop_at = time.monotonic() + KILL_SECONDS
        self.closed_up_to[key[0]] = max(key[1], self.closed_up_to.get(key[0], 0))
        return self._reply({})

    async def _hold(self, body: dict) -> HttpReply:
        seen, born = body["lastSeen"], self.born
        for number, task, run, how, _ in self.ended:
            if int(str(number)) <= seen:
                self.record.write(
                    "seen", worker=self.name, task=task, run=run, how=how, last=seen
                )
        self.ended = [row for row in self.ended if int(str(row[0])) > seen]
        wait_ms = min(WAIT_MS_MAX, body.get("waitMs", 0))
        until = time.monotonic() + wait_ms / 1000
        while not self.ended and self.born == born and time.monotonic() < until:
            await asyncio.sleep(TICK_SECONDS)
        if self.lost or self.born != born:
            await asyncio.sleep(SILENCE_SECONDS)
        now = time.monotonic()
        running = [
            [run.task, run.number, "", run.measure_percent(now), 0]
            for run in self.runs.values()
        ]
        return self._reply({"running": running, "ended": self.ended[:ENDS_MAX]})

    def _reply(self, content: dict, status: int = 200) -> HttpReply:
        fields = {"clockMs": int(self.read_clock() * 1000), "born": self.born}
        return build_json_reply(content | fields, status)

    def _end(self, run: Run, how: str) -> None:
        if self.runs.pop((run.task, run.number), None) is None:
            return
        highest = max(run.number, self.closed_up_to.get(run.task, 0))
        self.closed_up_to[run.task] = highest
        self._ends += 1
        self.ended.append([self._ends, run.task, run.number, how, ""])
        self.record.write(
            "end", worker=self.name, task=run.task, run=run.number, how=how
        )

    async def _tend(self) -> None:
        while not self.lost:
            now = time.monotonic()
            for run in list(self.runs.values()):
                how = self._find_end(run, now)
                if how:
                    self._end(run, how)
                    self._finish_gang(run, how)
            await asyncio.sleep(TICK_SECONDS)

    def _finish_gang(self, run: Run, how: str) -> None:
        if how != "done":
            self._break_gang(run)
            return
        for worker, other in self._list_gang(run) if run.spec["gang"] else ():
            worker._end(other, "done")

    def _find_end(self, run: Run, now: float) -> str:
        """Return how a run ends now; empty if it goes on."""
        if self.read_clock() > self.lease_end:
            return "lapsed"
        if run.stop_at is not None:
            return "stopped" if now >= run.stop_at else ""
        if run.begun_at is None:
            return "alone" if now - run.started_at > GANG_WAIT_SECONDS else ""
        if self.grey and now - run.begun_at >= GREY_SECONDS:
            return "failed"
        seconds = run.spec["seconds"]
        return "done" if seconds and now - run.begun_at >= seconds else ""

    async def _register(self) -> None:
        sequence = 0
        while not self.lost:
            sequence += 1
            entry = {
                "service": "archive",
                "addr": self.address,
                "zone": "a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldLeftMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": 256_000, "gpu": 0},
                "labels": ["a", *self.labels],
                "clockMs": int(self.read_clock() * 1000),
                "born": self.born,
                "seq": sequence,
            }
            self.store.put("keyed.servers", self.name, json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_SECONDS)
        await asyncio.sleep(HEARTBEAT_SECONDS * (MISSED_HEARTBEATS - 1))
        if self.lost:
            self.store.put("keyed.servers", self.name, b"")

"""Stand-in for a worker of the platform: attempts, a lease and fencing."""

import asyncio
import itertools
import json
import random
import time
from dataclasses import dataclass, field

from plantainhinge.adapters.stream_http_messages import HttpReply, HttpRequest
from plantainhinge.adapters.stream_http_server import HttpServer

from .platform_store import StandInStore, build_json_reply

HEARTBEAT_INTERVAL_SECONDS = 0.5
# heartbeats that a worker may miss before its entry is removed
MISSED_HEARTBEATS_MAX = 3
TICK_SECONDS = 0.01
ENDS_MAX = 500
WAIT_MS_MAX = 2000
LEASE_SECONDS_MAX = 4.0
LATE_SECONDS = (0.5, 5.0)


@dataclass
class WorkerAttempt:
    """One running attempt.

    ``seconds`` is its duration; 0 means that it runs until it is stopped.
    """

    task: str
    number: int
    started_at: float
    seconds: float

    def measure_percent(self, now: float) -> int:
        """Return how much of the work is done, or 100 if it runs until stopped."""
        if not self.seconds:
            return 100
        return min(99, int(100 * (now - self.started_at) / self.seconds))


@dataclass
class StandInWorker:
    """Runs tasks whose payload is their duration in seconds; 0 runs until stopped.

    Parameters
    ----------
    started : list of tuple of str and int
        Task and attempt number of every start, in order; tests check it.
    unresponsive : bool
        Whether requests get no timely response.
    down : bool
        Whether it publishes no entries.
    hidden : int
        Number of reasons for which its entries don't reach the store.
    closed_up_to : dict of str to int
        Highest attempt number of each task that is never started again.
    ended : list
        Ended attempts that the owner has not acknowledged.
    listen : str
        ``host:port`` to listen on if ``address`` is that of a proxy in front of it.
    clock_offset, clock_rate : float
        Difference in seconds of its clock to the monotonic one, and its speed.
    late_orders : int
        Number of orders that are still carried out seconds later without a response.
    """

    name: str
    address: str
    store: StandInStore
    millicores: int = 8000
    unresponsive: bool = False
    down: bool = False
    fence: int = 0
    lease_end: float = 0.0
    attempts: dict[tuple[str, int], WorkerAttempt] = field(default_factory=dict)
    started: list[tuple[str, int]] = field(default_factory=list)
    ended: list[list[object]] = field(default_factory=list)
    closed_up_to: dict[str, int] = field(default_factory=dict)
    incarnation: int = field(default_factory=lambda: int(time.time() * 1000))
    end_sequence: "itertools.count[int]" = field(
        default_factory=lambda: itertools.count(1)
    )
    domain: str = "a"
    listen: str = ""
    hidden: int = 0
    clock_offset: float = 0.0
    clock_rate: float = 1.0
    late_orders: int = 0
    _late: "set[asyncio.Task[object]]" = field(default_factory=set)

    async def start(self) -> None:
        """Start listening, ending due attempts and publishing entries to the store."""
        await HttpServer(self.listen or self.address, self.handle).start()
        self._tasks = [
            asyncio.create_task(self._publish_entry()),
            asyncio.create_task(self._end_due_attempts()),
        ]

    def read_clock(self) -> float:
        """Return the time of the worker's own steady clock, in seconds."""
        return self.clock_offset + self.clock_rate * time.monotonic()

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Handle one request."""
        if self.unresponsive:
            await asyncio.sleep(60)
        if self.late_orders > 0 and request.path != "/-/hold":
            self.late_orders -= 1
            task = asyncio.create_task(self._carry_out_late(request))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            await asyncio.sleep(60)
        return await self._carry_out(request)

    async def _carry_out_late(self, request: HttpRequest) -> None:
        await asyncio.sleep(random.uniform(*LATE_SECONDS))
        await self._carry_out(request)

    async def _carry_out(self, request: HttpRequest) -> HttpReply:
        if request.headers.get("x-expect-instance") != self.name:
            return self._reply({}, 421)
        body = json.loads(request.body)
        if body.get("fencingToken", 0) < self.fence:
            return self._reply({"reason": "fence"}, 409)
        self.fence = body.get("fencingToken", 0)
        longest = self.read_clock() + LEASE_SECONDS_MAX
        deadline = min(body.get("deadlineMs", 0) / 1000, longest)
        self.lease_end = max(self.lease_end, deadline)
        match request.path:
            case "/-/run-start":
                return self._start(body)
            case "/-/run-stop":
                return self._stop(body)
            case "/-/hold":
                return await self._renew_lease(body)
        return self._reply({})

    def _start(self, body: dict[str, object]) -> HttpReply:
        task, attempt = str(body["task"]), int(str(body["attempt"]))
        if (task, attempt) in self.attempts:
            return self._reply({})
        if attempt <= self.closed_up_to.get(task, 0):
            return self._reply({"reason": "old"}, 409)
        if self.lease_end <= self.read_clock():
            return self._reply({"reason": "late"}, 409)
        self.started.append((task, attempt))
        self.attempts[(task, attempt)] = WorkerAttempt(
            task, attempt, time.monotonic(), self.parse_payload(str(body["spec"]))
        )
        self.on_start(task, attempt, str(body["spec"]))
        return self._reply({})

    @staticmethod
    def parse_payload(payload: str) -> float:
        """Return the duration of a task in seconds."""
        return float(payload)

    def on_start(self, task: str, attempt: int, payload: str) -> None:
        """Hook that is called after each start."""

    def on_end(self, key: tuple[str, int], cause: str, sequence: int) -> None:
        """Hook that is called after each end, with its sequence number."""

    def on_acknowledge(self, acknowledged: int) -> None:
        """Hook that is called when the owner acknowledges ends up to a sequence."""

    def _stop(self, body: dict[str, object]) -> HttpReply:
        task, attempt = str(body["task"]), int(str(body["attempt"]))
        if (task, attempt) in self.attempts:
            self._end((task, attempt), "stopped")
        self.closed_up_to[task] = max(attempt, self.closed_up_to.get(task, 0))
        return self._reply({})

    async def _renew_lease(self, body: dict[str, object]) -> HttpReply:
        if int(str(body.get("waitMs", 0))) > WAIT_MS_MAX:
            return self._reply({}, 400)
        acknowledged = int(str(body["lastSeen"]))
        self.ended = [row for row in self.ended if int(str(row[0])) > acknowledged]
        self.on_acknowledge(acknowledged)
        end = time.monotonic() + int(str(body.get("waitMs", 0))) / 1000
        while not self.ended and time.monotonic() < end:
            await asyncio.sleep(TICK_SECONDS)
        now = time.monotonic()
        running = [
            [
                attempt.task,
                attempt.number,
                "",
                attempt.measure_percent(now),
                now % 1,
            ]
            for attempt in self.attempts.values()
        ]
        return self._reply({"running": running, "ended": self.ended[:ENDS_MAX]})

    def _reply(self, content: dict[str, object], status: int = 200) -> HttpReply:
        fields = {"clockMs": int(self.read_clock() * 1000), "born": self.incarnation}
        return build_json_reply(content | fields, status)

    def _end(self, key: tuple[str, int], cause: str) -> None:
        del self.attempts[key]
        self.closed_up_to[key[0]] = max(key[1], self.closed_up_to.get(key[0], 0))
        sequence = next(self.end_sequence)
        self.ended.append([sequence, *key, cause, ""])
        self.on_end(key, cause, sequence)

    async def _end_due_attempts(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = time.monotonic()
            for key, attempt in list(self.attempts.items()):
                if self.read_clock() > self.lease_end:
                    self._end(key, "lapsed")
                elif attempt.seconds and now - attempt.started_at >= attempt.seconds:
                    self._end(key, "done")

    async def _publish_entry(self) -> None:
        missed = 0
        for sequence in itertools.count():
            entry = {
                "service": "archive",
                "addr": self.address,
                "zone": self.domain,
                "state": "ready",
                "capacity": {"cpu": self.millicores, "memMb": 64000, "gpu": 0},
                "labels": [self.domain, "r1-1"],
                "born": self.incarnation,
                "seq": sequence,
            }
            missed = missed + 1 if self.down or self.hidden else 0
            if missed == MISSED_HEARTBEATS_MAX:
                self.store.put("keyed.servers", self.name, b"")
            elif not missed:
                self.store.put("keyed.servers", self.name, json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)

"""Stand-in for a worker of the platform, as PROTOCOL.md describes it.

It guards its capacity, keeps a lease on its own steady clock, refuses fenced, old, late
and oversized starts, and lists what runs and what ended. What a task does is decided by
``plan(job, task, attempt)``, which returns a ``Work``.
"""

import asyncio
import json
import time

from .wire import Reply, Server

HEARTBEAT_SECONDS = 1.1
TICK_SECONDS = 0.01
CHECKPOINT_SECONDS = 1.0
GANG_WAIT_SECONDS = 3.0
RESTORE_SECONDS = 0.6
HOLD_SECONDS_MAX = 6.0


class Work:
    """What one run of a task does.

    Parameters
    ----------
    seconds : float, optional
        Time of work until it ends; None for a task that lasts.
    how : str
        How it ends then: ``done`` or ``failed``.
    gang : Gang, optional
        The gang that the task belongs to.
    saves : bool
        Whether the task checkpoints its progress.
    """

    def __init__(self, seconds=None, how="done", gang=None, saves=False):
        self.seconds = seconds
        self.how = how
        self.gang = gang
        self.saves = saves


class Gang:
    """Members of one gang: a run works from when all members are present.

    All members of a run must carry the same checkpoint: members that carry different
    ones can't work together, so each waits for the others and ends ``alone``.
    """

    def __init__(self, size):
        self.size = size
        self.runs = {}
        self.finished = set()

    def members(self, attempt):
        return self.runs.setdefault(attempt, [])

    def is_together(self, attempt):
        members = self.members(attempt)
        values = {run.checkpoint for run in members}
        return len(members) == self.size and len(values) == 1


class Run:
    """One running attempt on a worker."""

    def __init__(self, task, attempt, work, checkpoint, cpu, memory, now):
        self.task = task
        self.attempt = attempt
        self.work = work
        self.checkpoint = checkpoint
        self.cpu = cpu
        self.memory = memory
        self.started = now
        self.worked = decode_checkpoint(checkpoint)
        self.saved = checkpoint
        self.working_since = None
        self.restored = now

    @property
    def job(self):
        return self.task.split(".")[0]


class Worker:
    """One worker; ``crash`` and ``restart`` give it another life under its id."""

    def __init__(
        self,
        name,
        store,
        record,
        plan,
        *,
        sizes,
        cpu,
        memory,
        zone,
        rack,
        kind="a",
        service="formula-archive",
    ):
        self.name = name
        self.store = store
        self.record = record
        self.plan = plan
        self.sizes = sizes
        self.cpu = cpu
        self.memory = memory
        self.zone = zone
        self.labels = [kind, rack]
        self.service = service
        self.state = "ready"
        self.server = None
        self.address = None
        self.silent = False
        self.tasks = []
        self.reset()

    def reset(self):
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.lease_end = 0.0
        self.runs = {}
        self.closed = {}
        self.ended = []
        self.sequence = 0
        self.ends = asyncio.Event()

    def clock(self):
        return time.monotonic() - self.began

    @property
    def used_cpu(self):
        return sum(run.cpu for run in self.runs.values())

    @property
    def used_memory(self):
        return sum(run.memory for run in self.runs.values())

    async def start(self):
        self.server = Server(self.handle, self.address)
        await self.server.start()
        self.address = self.server.address
        self.publish()
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.beat()), loop.create_task(self.tick())]

    def crash(self):
        """Lose everything at once; the entry stays until it expires."""
        self.record("crash", worker=self.name, running=len(self.runs))
        for task in self.tasks:
            task.cancel()
        self.server.crash()
        for run in list(self.runs.values()):
            self.leave_gang(run)
        self.reset()

    def expire(self):
        """Remove the entry, as the platform does after three silent heartbeats."""
        self.store.drop("keyed.servers", self.name)

    async def restart(self):
        """Start again under the same id and address."""
        self.reset()
        self.state = "ready"
        self.silent = False
        self.record("restart", worker=self.name)
        await self.start()

    def stop(self):
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.crash()

    def publish(self):
        entry = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": int(self.clock() * 10),
            "capacity": {"cpu": self.cpu, "memMb": self.memory, "gpu": 0},
            "labels": self.labels,
            "born": self.born,
        }
        if self.state == "draining":
            entry["remainingMs"] = 2000
        self.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if not self.silent:
                self.publish()

    async def handle(self, request):
        while self.silent:
            await asyncio.sleep(0.2)
        if request.headers.get("x-expect-instance") != self.name:
            return self.reply(421)
        body = request.json()
        if body.get("fencingToken", 0) < self.fence:
            return self.reply(409, reason="fence")
        self.fence = body.get("fencingToken", 0)
        if "deadlineMs" in body:
            self.extend_lease(body["deadlineMs"] / 1000)
        if request.target == "/-/hold":
            return await self.hold(body)
        calls = {
            "/-/run-start": self.run_start,
            "/-/run-stop": self.run_stop,
            "/-/pace": lambda body: self.reply(),
        }
        call = calls.get(request.target)
        return self.reply(404) if call is None else call(body)

    def extend_lease(self, end):
        """Move the end of the lease; it never shortens, and is limited from now on."""
        limit = self.clock() + HOLD_SECONDS_MAX
        self.lease_end = max(self.lease_end, min(end, limit))

    def reply(self, status=200, **content):
        fields = {"clockMs": int(self.clock() * 1000), "born": self.born}
        return Reply(status, content | fields)

    def run_start(self, body):
        task, attempt = body["task"], body["attempt"]
        if (task, attempt) in self.runs:
            return self.reply()
        refusal = None
        cpu, memory = self.sizes(task)
        if attempt <= self.closed.get(task, 0):
            refusal = "old"
        elif (
            self.lease_end <= self.clock() or body["deadlineMs"] / 1000 <= self.clock()
        ):
            refusal = "late"
        elif self.used_cpu + cpu > self.cpu or self.used_memory + memory > self.memory:
            refusal = "room"
        if refusal is not None:
            self.record(
                "refused", worker=self.name, task=task, attempt=attempt, reason=refusal
            )
            return self.reply(409, reason=refusal)
        checkpoint = body.get("checkpoint", "")
        work = self.plan(task, attempt, self)
        run = Run(task, attempt, work, checkpoint, cpu, memory, time.monotonic())
        self.runs[(task, attempt)] = run
        if work.gang is not None:
            work.gang.members(attempt).append(run)
        self.record(
            "start",
            worker=self.name,
            task=task,
            attempt=attempt,
            checkpoint=checkpoint,
            spec=body["spec"],
        )
        return self.reply()

    def run_stop(self, body):
        task, attempt = body["task"], body["attempt"]
        run = self.runs.get((task, attempt))
        self.closed[task] = max(attempt, self.closed.get(task, 0))
        if run is not None:
            self.end(run, "stopped", save=True)
        return self.reply()

    async def hold(self, body):
        seen = body.get("lastSeen", 0)
        dropped = [row for row in self.ended if row[0] <= seen]
        self.ended = [row for row in self.ended if row[0] > seen]
        for row in dropped:
            self.record(
                "noted", worker=self.name, task=row[1], attempt=row[2], how=row[3]
            )
        until = time.monotonic() + min(2000, body.get("waitMs", 0)) / 1000
        while not self.ended and time.monotonic() < until:
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await self.ends.wait()
            except TimeoutError:
                break
        running = [
            [run.task, run.attempt, run.saved, self.percent(run), self.gauge(run)]
            for run in self.runs.values()
        ]
        return self.reply(running=running, ended=self.ended[:500])

    def percent(self, run):
        if run.work.seconds is None:
            return 100 if time.monotonic() - run.started > 0.3 else 0
        return min(99, int(100 * run.worked / run.work.seconds))

    def gauge(self, run):
        return run.cpu

    def end(self, run, how, *, save=False):
        del self.runs[(run.task, run.attempt)]
        self.leave_gang(run)
        self.closed[run.task] = max(run.attempt, self.closed.get(run.task, 0))
        self.sequence += 1
        if save and run.work.saves and run.worked > 0:
            run.saved = encode_checkpoint(run.job, run.worked)
        saved = "" if how == "done" else run.saved
        self.ended.append([self.sequence, run.task, run.attempt, how, saved])
        self.record(
            "end",
            worker=self.name,
            task=run.task,
            attempt=run.attempt,
            how=how,
            checkpoint=saved,
        )
        self.ends.set()
        self.ends = asyncio.Event()

    def leave_gang(self, run):
        gang = run.work.gang
        if gang is not None and run in gang.members(run.attempt):
            gang.members(run.attempt).remove(run)

    async def tick(self):
        last = time.monotonic()
        was_lapsed = True
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = time.monotonic()
            elapsed, last = now - last, now
            lapsed = self.clock() > self.lease_end
            if lapsed and not was_lapsed:
                self.record("lease lapsed", worker=self.name)
            was_lapsed = lapsed
            for run in list(self.runs.values()):
                if lapsed:
                    self.end(run, "lapsed")
                else:
                    self.advance(run, now, elapsed)

    def advance(self, run, now, elapsed):
        if run.work.gang is not None and not self.works_together(run, now):
            return
        if run.working_since is None:
            run.working_since = now
            run.restored = now + (RESTORE_SECONDS if run.checkpoint else 0.0)
        if now < run.restored:
            return
        before = int(run.worked / CHECKPOINT_SECONDS)
        run.worked += elapsed
        if run.work.saves and int(run.worked / CHECKPOINT_SECONDS) > before:
            mark = int(run.worked / CHECKPOINT_SECONDS) * CHECKPOINT_SECONDS
            run.saved = encode_checkpoint(run.job, mark)
        if run.work.seconds is not None and run.worked >= run.work.seconds:
            if run.work.gang is not None:
                run.work.gang.finished.add(run.attempt)
            self.end(run, run.work.how)

    def works_together(self, run, now):
        """Return whether a member of a gang is at work; end it if it can't be."""
        gang = run.work.gang
        if run.attempt in gang.finished:
            self.end(run, "done")
            return False
        if gang.is_together(run.attempt):
            return True
        if run.working_since is not None:
            self.end(run, "broken")
        elif now - run.started > GANG_WAIT_SECONDS:
            self.end(run, "alone")
        return False


def encode_checkpoint(job, worked):
    return f"{int(worked * 1000):08x}{job[4:12]}"


def decode_checkpoint(value):
    return int(value[:8], 16) / 1000 if value else 0.0

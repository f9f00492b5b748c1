"""Stand-ins for clients, workers and the advice service, and the checks of the rules.

They follow PROTOCOL.md. The store is the project's own stand-in. What a task does is
written in the spec of its job, which only the workers read.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from standins.platform_store import StandInStore  # noqa: E402

HOST = "archive.example"
# bounds of a small deployment, in seconds
BOUNDS = {
    "lease": 6.0,
    "kill_grace": 0.9,
    "gang_wait": 3.0,
    "early": 0.25,
    "cancel": 3.0,
    "ack": 4.0,
    "save": 1.0,
    "restore": 0.6,
    "contact": 3.0,
    "drain": 2.0,
    "heartbeat": 1.5,
    "visible": 3.0,
    "evac": 5.0,
}

# of each queue
ATTEMPTS = 3


def now():
    return time.monotonic()


_taken = set()


def free_port():
    """Return a free port below those that the system gives to outgoing connections."""
    # of a thousand for each process, so that cases beside each other seldom collide
    first = 20_000 + 1_000 * (os.getpid() % 12)
    while True:
        port = first + random.randrange(1_000)
        if port in _taken:
            continue
        _taken.add(port)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


def free_address():
    return f"127.0.0.1:{free_port()}"


class Record:
    """What was sent, answered and run, with seconds since the beginning."""

    def __init__(self, path):
        self.file = Path(path).open("w")  # noqa: SIM115
        self.began = now()

    def write(self, text):
        self.file.write(f"{now() - self.began:8.3f} {text}\n")
        self.file.flush()


class Server:
    """HTTP/1.1 with persistent connections; handlers return (status, body) or None."""

    def __init__(self, address, handle):
        self.address, self.handle = address, handle
        self.writers = set()
        self.server = None
        self.hangs, self.blockers = False, []

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True, backlog=200
        )

    def hang(self):
        """Answer nothing more, as a machine without power: not even new connections.

        The listener's queue is filled, so that further opening packets are dropped.
        """
        self.hangs = True
        host, _, port = self.address.rpartition(":")
        listener = self.server.sockets[0]
        asyncio.get_running_loop().remove_reader(listener.fileno())
        with socket.socket(fileno=os.dup(listener.fileno())) as same:
            same.listen(0)
        for _ in range(3):
            blocker = socket.socket()
            blocker.setblocking(False)
            blocker.connect_ex((host, int(port)))
            self.blockers.append(blocker)

    def stop(self):
        self.hangs = False
        while self.blockers:
            self.blockers.pop().close()
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self.handle(method, path, headers, body)
                while self.hangs:
                    await asyncio.sleep(0.1)
                if answer is None:
                    return
                status, content = answer
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def http(address, method, path, body=b"", headers=(), timeout=3.0):
    """Return (status, body), or (0, cause) if there is no whole answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers]
            lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            size = 0
            for line in head.decode("latin-1").split("\r\n"):
                if line.lower().startswith("content-length:"):
                    size = int(line.split(":")[1])
            return status, await reader.readexactly(size)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return 0, repr(error).encode()
    finally:
        if writer is not None:
            writer.transport.abort()


@dataclass(eq=False)
class Run:
    """One run of a task on a worker."""

    task: str
    attempt: int
    worker: str
    life: int
    started: float
    checkpoint: str
    ended: float = 0.0
    how: str = ""
    noted: float = 0.0
    lapse_after: bool = False
    base: float = 0.0
    work_from: float = 0.0
    saved: str = ""
    stop_at: float = 0.0
    pace: int = 100


@dataclass(eq=False)
class Job:
    """A job as its client handed it in, and what was answered."""

    name: str
    queue: str
    body: dict
    steps: list
    sent: float = 0.0
    accepted: float = 0.0
    answers: list = field(default_factory=list)
    cancel_sent: float = 0.0
    cancelled: float = 0.0
    states: list = field(default_factory=list)
    times: int = 0
    start_at: float = 0.0
    interval: float = 0.0


class World:
    """All runs, jobs, and the rules broken."""

    def __init__(self, record):
        self.record = record
        self.jobs = {}
        self.runs = {}
        self.broken = []
        self.workers = {}
        self.guarded = True

    def breach(self, rule, text):
        self.broken.append((rule, text))
        self.record.write(f"RULE {rule}: {text}")

    def parse(self, task):
        name, k, step, index = task.split(".")
        return self.jobs.get(name), int(k), int(step), int(index)

    def live(self, task):
        return [run for run in self.runs.get(task, []) if not run.ended]

    def is_done(self, job, k, step):
        spec = job.steps[step]
        done = [
            any(
                run.how == "done"
                for run in self.runs.get(f"{job.name}.{k}.{step}.{i}", [])
            )
            for i in range(spec["count"])
        ]
        return any(done) if spec.get("gang") else all(done)

    def check_start(self, run, worker, spec_text):
        job, k, step, _ = self.parse(run.task)
        if job is None:
            self.breach("UNASKED", f"{run.task} on {worker.id}: no such job")
            return
        spec = job.steps[step]
        self.check_order(run, job, spec_text)
        if not spec.get("speculative"):
            self.check_alone(run, worker)
        for before in spec.get("dependsOn", []):
            if not self.is_done(job, k, before):
                self.breach("ORDER", f"{run.task} before step {before}")
        due = job.start_at + k * job.interval
        if job.times and time.time() < due - BOUNDS["early"]:
            self.breach("ORDER", f"{run.task} {due - time.time():.3f} s early")
        self.check_place(run, worker, spec)

    def check_order(self, run, job, spec_text):
        if spec_text != job.body["spec"]:
            self.breach("UNASKED", f"{run.task}: another spec")
        if run.checkpoint and run.checkpoint.split("~")[0] != self.name_saved(run):
            self.breach("UNASKED", f"{run.task}: another checkpoint {run.checkpoint}")
        late = now() - job.cancelled if job.cancelled else 0.0
        if late > BOUNDS["cancel"]:
            text = f"{run.task} starts {late:.2f} s after its cancel"
            self.breach("UNASKED", text)

    def name_saved(self, run):
        job, k, step, index = self.parse(run.task)
        is_gang = job.steps[step].get("gang")
        return f"{job.name}.{k}.{step}" + ("" if is_gang else f".{index}")

    def check_alone(self, run, worker):
        for other in self.live(run.task):
            if self.workers[other.worker].up:
                text = f"{run.task} run {run.attempt} on {worker.id}"
                text += f" beside run {other.attempt} on {other.worker}"
                self.breach("TWICE", text)

    def check_place(self, run, worker, spec):
        label = spec.get("constraints")
        if label and label not in worker.labels:
            self.breach("ROUTE", f"{run.task} on {worker.id} without {label}")
        step = run.task.rpartition(".")[0]
        same = [
            other
            for other in worker.running.values()
            if other.task.rpartition(".")[0] == step
        ]
        if spec.get("antiAffinity") and len(same) + 1 > spec["antiAffinity"]:
            self.breach("ROUTE", f"{run.task} beyond antiAffinity on {worker.id}")

    def check_end(self):
        """The checks that need the whole day."""
        for task, runs in self.runs.items():
            job, _, step, _ = self.parse(task)
            if job is None:
                continue
            spec = job.steps[step]
            if spec.get("speculative") or spec.get("longRunning"):
                continue
            self.check_repeats(task, runs)
            if not spec.get("gang"):
                self.check_budget(task, runs)

    def check_repeats(self, task, runs):
        ends = [
            run
            for run in runs
            if run.how == "done" and run.noted and not run.lapse_after
        ]
        for end in ends:
            for run in runs:
                if run.started > end.ended:
                    text = f"{task} run {run.attempt} on {run.worker} after run"
                    text += f" {end.attempt} ended done on {end.worker}, taken note of"
                    self.breach("TWICE", text)

    def check_budget(self, task, runs):
        failed = sorted(
            run.ended
            for run in runs
            if run.how == "failed" and run.noted and not run.lapse_after
        )
        for run in runs:
            if len(failed) >= ATTEMPTS and run.started > failed[ATTEMPTS - 1]:
                text = f"{task} run {run.attempt} after {ATTEMPTS} failed"
                self.breach("BUDGET", text)


class Worker:
    """A worker as PROTOCOL.md tells it, with the faults that the pages name."""

    def __init__(
        self,
        world,
        store,
        name,
        *,
        zone="za",
        rack="r1-1",
        cpu=8000,
        mem=32000,
        labels=(),
        service="archive",
        guard=True,
    ):
        self.world, self.store, self.id = world, store, name
        self.address = free_address()
        self.zone, self.cpu, self.mem = zone, cpu, mem
        self.labels = ["ka", rack, *labels]
        self.service, self.guard = service, guard
        self.server = Server(self.address, self.handle)
        self.running, self.closed = {}, {}
        self.ends, self.numbers = [], itertools.count(1)
        self.up, self.state, self.remaining = False, "ready", 0.0
        self.fence, self.lease = 0, 0.0
        self.life, self.born, self.began = 0, 0, 0.0
        self.answers_until = {}
        # modes: lose (carried out, not answered), deaf (never arrives), late
        self.mode, self.late_share, self.listed = "", 0.0, True
        self.rng = random.Random(name)
        self.seq = itertools.count(1)
        self.end_event = asyncio.Event()
        self.tickets = None
        world.workers[name] = self

    async def start(self):
        self.life += 1
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.began = now()
        self.running, self.closed, self.ends = {}, {}, []
        self.numbers, self.fence, self.lease = itertools.count(1), 0, 0.0
        self.state, self.up = "ready", True
        self.server.stop()
        await self.server.start()
        self.world.record.write(f"worker {self.id} life {self.life} at {self.address}")
        self.put()

    def crash(self, *, dark=False):
        """End at once; if dark, without a sign: calls and connections hang."""
        how = "goes dark" if dark else "crashes"
        self.world.record.write(f"worker {self.id} {how} with {sorted(self.running)}")
        self.up = False
        if dark:
            self.server.hang()
        else:
            self.server.stop()
        for run in list(self.running.values()):
            run.ended, run.how = now(), "crash"
            self.world_gang_end(run)
        self.running = {}
        self.end_event.set()

    def clock(self):
        return now() - self.began

    def put(self):
        if not self.up or not self.listed:
            return
        entry = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "1.0",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0},
            "labels": self.labels,
            "born": self.born,
            "seq": next(self.seq),
        }
        if self.state == "draining":
            entry["remainingMs"] = int(self.remaining * 1000)
        self.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    def drop_entry(self):
        self.store.put("keyed.servers", self.id, b"")

    async def beat(self):
        silent = 0
        while True:
            await asyncio.sleep(BOUNDS["heartbeat"] * self.rng.uniform(0.9, 1.0))
            if self.up and self.listed:
                silent = 0
                self.put()
            else:
                silent += 1
                if silent == 3:
                    self.drop_entry()

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            if not self.up:
                continue
            if self.running and self.clock() > self.lease:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")
            if self.clock() > self.lease:
                for _life, run in self.unseen():
                    run.lapse_after = True
            for run in list(self.running.values()):
                self.advance(run)

    def unseen(self):
        return [(row[0], row[5]) for row in self.ends]

    def advance(self, run):
        job, _, step, index = self.world.parse(run.task)
        if job is None:
            return
        spec = job.steps[step]
        if run.stop_at:
            if now() >= run.stop_at:
                self.end(run, "stopped")
        elif spec.get("gang") and not run.work_from:
            self.wait_for_gang(run, spec)
        else:
            self.proceed(run, spec, index)

    def wait_for_gang(self, run, spec):
        members = self.members(run)
        if len(members) == spec["count"]:
            at = max(
                now(),
                *(
                    m.started + (BOUNDS["restore"] if m.checkpoint else 0)
                    for m in members
                ),
            )
            for member in members:
                member.work_from = at
        elif now() - run.started > BOUNDS["gang_wait"]:
            self.world.record.write(f"alone {run.task} run {run.attempt}")
            self.end(run, "alone")

    def proceed(self, run, spec, index):
        worked = self.worked(run)
        plan = spec["plan"]
        fails = plan.get("fail", {}).get(str(index), 0)
        failed_before = sum(r.how == "failed" for r in self.world.runs[run.task])
        if fails > failed_before and worked >= plan["t"] * 0.5:
            self.end(run, "failed")
        elif not spec.get("longRunning") and worked >= plan["t"]:
            self.end(run, "done")

    def worked(self, run):
        if not run.work_from or now() < run.work_from:
            return run.base
        return run.base + now() - run.work_from

    def saved(self, run):
        job, _, step, _ = self.world.parse(run.task)
        if job is None or not job.steps[step].get("checkpointing"):
            return ""
        units = int(self.worked(run) / BOUNDS["save"])
        if run.stop_at or run.how == "stopped":
            amount = self.worked(run)
        else:
            amount = units * BOUNDS["save"]
        if amount <= 0:
            return run.checkpoint
        return f"{self.world.name_saved(run)}~{amount:.3f}"

    def members(self, run):
        prefix = run.task.rpartition(".")[0]
        return [
            other
            for task, runs in self.world.runs.items()
            if task.rpartition(".")[0] == prefix
            for other in runs
            if not other.ended and other.attempt == run.attempt
        ]

    def end(self, run, how):
        if run.ended:
            return
        saved = self.saved(run)
        run.ended, run.how = now(), how
        self.running.pop((run.task, run.attempt), None)
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.attempt)
        self.ends.append((next(self.numbers), run.task, run.attempt, how, saved, run))
        self.world.record.write(f"end {run.task} run {run.attempt} on {self.id}: {how}")
        self.end_event.set()
        self.world_gang_end(run)

    def world_gang_end(self, run):
        job, _k, step, _index = self.world.parse(run.task)
        if job is None or not job.steps[step].get("gang"):
            return
        for other in self.members(run):
            worker = self.world.workers[other.worker]
            if run.how == "done":
                worker.end(other, "done")
            else:
                worker.end(other, "broken")

    def read(self, body):
        return json.loads(body)

    def reply(self, content=None, status=200):
        content = (content or {}) | {
            "clockMs": int(self.clock() * 1000),
            "born": self.born,
        }
        return status, json.dumps(content).encode()

    async def handle(self, method, path, headers, body):
        life = self.life
        if not self.up or self.mode == "deaf":
            await asyncio.sleep(30 if self.up else 0)
            return None
        if headers.get("x-expect-instance", self.id) != self.id:
            return self.reply({}, 421)
        is_order = path in ("/-/run-start", "/-/run-stop")
        if is_order and self.late_share and self.rng.random() < self.late_share:
            delay = self.rng.uniform(2.0, 12.0)
            self.world.record.write(
                f"late by {delay:.1f} s: {path} {body[:70]!r} to {self.id}"
            )
            asyncio.get_running_loop().call_later(
                delay, self.carry_out_late, life, path, body
            )
            await asyncio.sleep(30)
            return None
        answer = await self.carry_out(path, body)
        if not self.up or self.life != life:
            return None
        if self.mode == "lose":
            await asyncio.sleep(30)
            return None
        return answer

    def carry_out_late(self, life, path, body):
        if self.up and self.life == life:
            self.late = asyncio.ensure_future(self.carry_out(path, body))

    async def carry_out(self, path, body):
        content = self.read(body)
        token = content.get("fencingToken", 0)
        if token < self.fence:
            return self.reply({"reason": "fence"}, 409)
        self.fence = token
        match path:
            case "/-/run-start":
                return self.run_start(content)
            case "/-/run-stop":
                return self.run_stop(content)
            case "/-/hold":
                return await self.hold(content)
        return self.reply()

    def extend(self, content):
        if "deadlineMs" in content:
            until = min(content["deadlineMs"] / 1000, self.clock() + BOUNDS["lease"])
            self.lease = max(self.lease, until)

    def free(self):
        cpu, mem = self.cpu, self.mem
        for run in self.running.values():
            job, _k, step, _index = self.world.parse(run.task)
            if job is not None:
                spec = job.steps[step]
                cpu -= 0 if spec.get("fills") else spec.get("cpu", 0)
                mem -= spec.get("memMb", 0)
        return cpu, mem

    def run_start(self, content):
        task, attempt = content["task"], content["attempt"]
        if (task, attempt) in self.running:
            self.extend(content)
            return self.reply()
        reason = self.find_refusal(task, attempt, content)
        if reason != "late":
            self.extend(content)
        if reason:
            self.world.record.write(f"{reason}: {task} run {attempt} on {self.id}")
            return self.reply({"reason": reason}, 409)
        self.begin(task, attempt, content)
        return self.reply()

    def find_refusal(self, task, attempt, content):
        """Return why a start is rejected; empty if it isn't."""
        if content["deadlineMs"] / 1000 <= self.clock():
            return "late"
        is_there = any(run.task == task for run in self.running.values())
        if is_there or attempt <= self.closed.get(task, 0):
            return "old"
        job, k, step, _ = self.world.parse(task)
        if job is None:
            return ""
        spec, (cpu, mem) = job.steps[step], self.free()
        needed = 0 if spec.get("fills") else spec.get("cpu", 0)
        if self.guard and (needed > cpu or spec.get("memMb", 0) > mem):
            return "room"
        if self.tickets is None or job.queue != "advised":
            return ""
        ticket = self.tickets.get((f"{job.name}.{k}.{step}", self.id, self.life))
        is_valid = ticket and ticket[0] == content.get("ticket") and now() <= ticket[1]
        return "" if is_valid else "ticket"

    def begin(self, task, attempt, content):
        job, _, step, _ = self.world.parse(task)
        saved = content.get("checkpoint", "")
        run = Run(task, attempt, self.id, self.life, now(), saved)
        self.world.check_start(run, self, content.get("spec"))
        if "~" in saved:
            run.base = float(saved.split("~")[1])
        if job is not None and not job.steps[step].get("gang"):
            run.work_from = now() + (BOUNDS["restore"] if saved else 0.0)
        self.running[(task, attempt)] = run
        self.world.runs.setdefault(task, []).append(run)
        self.world.record.write(
            f"start {task} run {attempt} on {self.id} token {self.fence} from {saved!r}"
        )

    def run_stop(self, content):
        task, attempt = content["task"], content["attempt"]
        run = self.running.get((task, attempt))
        self.closed[task] = max(self.closed.get(task, 0), attempt)
        self.world.record.write(
            f"stop {task} run {attempt} on {self.id} there: {run is not None}"
        )
        if run is not None and not run.stop_at:
            run.stop_at = now() + self.rng.uniform(0.0, BOUNDS["kill_grace"])
        return self.reply()

    async def hold(self, content):
        self.extend(content)
        seen = content.get("lastSeen", 0)
        for row in self.ends:
            if row[0] <= seen and not row[5].noted:
                row[5].noted = now()
        self.ends = [row for row in self.ends if row[0] > seen]
        wait = content.get("waitMs", 0)
        assert isinstance(wait, int) and wait <= 2000, content
        until = now() + wait / 1000
        while not self.ends and now() < until and self.up:
            self.end_event.clear()
            try:
                async with asyncio.timeout(until - now()):
                    await self.end_event.wait()
            except TimeoutError:
                break
        running = []
        for run in self.running.values():
            job, _k, step, _index = self.world.parse(run.task)
            spec = job.steps[step] if job else {"plan": {"t": 1}}
            if spec.get("longRunning"):
                percent = 100 if now() - run.started > 0.3 and run.work_from else 0
            else:
                percent = min(99, int(100 * self.worked(run) / spec["plan"]["t"]))
            running.append([run.task, run.attempt, self.saved(run), percent, 0])
        ended = [list(row[:5]) for row in self.ends[:500]]
        return self.reply({"running": running, "ended": ended})


class Advice:
    """The service that advises on workers; every worker whose id fits is good."""

    def __init__(self, world, good, *, decision=0.05, period=0.01, validity=3.0):
        self.world, self.good = world, good
        self.address = free_address()
        self.server = Server(self.address, self.handle)
        self.decision, self.period, self.validity = decision, period, validity
        self.tickets = {}
        self.lock = asyncio.Lock()

    async def handle(self, method, path, headers, body):
        content = json.loads(body)
        async with self.lock:
            await asyncio.sleep(self.decision + self.period * len(content["workers"]))
        rows = []
        for name in content["workers"]:
            worker = self.world.workers.get(name)
            if worker is None or not worker.up or not self.good(content["step"], name):
                continue
            ticket = f"t{random.getrandbits(40):010x}"
            self.tickets[content["step"], name, worker.life] = (
                ticket,
                now() + self.validity,
            )
            rows.append([name, ticket])
        return 200, json.dumps(
            {"good": rows, "validityMs": int(self.validity * 1000)}
        ).encode()


class Site:
    """A store, workers, and instances that the command of the deploy file starts."""

    def __init__(self, folder, record_path, *, seed=0):
        self.folder = Path(folder)
        self.record = Record(record_path)
        self.world = World(self.record)
        self.store_address = free_address()
        self.store = StandInStore(self.store_address)
        self.workers, self.instances, self.settings = [], {}, {}
        self.rng = random.Random(seed)
        self.tasks = []
        self.version = 0
        self.advice = None
        self.ids = itertools.count(1)
        self.down = {}
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["entry"]["run"].split()
        self.queues = [
            {
                "name": "fast",
                "host": HOST,
                "pathPrefix": "/fast/",
                "service": "archive",
                "priority": 0,
                "attempts": 3,
                "slackFactor": 2.0,
                "targetLatencyMs": 1000,
            },
            {
                "name": "slow",
                "host": HOST,
                "pathPrefix": "/slow/",
                "service": "archive",
                "priority": 2,
                "attempts": 3,
                "slackFactor": 2.0,
                "targetLatencyMs": 1000,
            },
            {
                "name": "advised",
                "host": HOST,
                "pathPrefix": "/advised/",
                "service": "archive",
                "priority": 0,
                "attempts": 3,
                "slackFactor": 2.0,
                "targetLatencyMs": 1000,
                "hint": {"decisionMs": 50, "periodMs": 10, "validityMs": 3000},
            },
        ]

    def configure(self):
        self.version += self.rng.randint(1, 3)
        config = {
            "version": self.version,
            "routes": self.queues,
            "services": [{"name": "archive", "enforceCapacity": True}],
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.record.write(f"configuration {self.version}")

    async def start(self, *, workers=6, instances=3, **kind):
        await self.store.start()
        self.configure()
        self.advice = Advice(self.world, lambda step, name: True)
        await self.advice.server.start()
        zones = ("za", "zb", "zc")
        for index in range(workers):
            await self.add_worker(
                f"i-{index:04d}",
                zone=zones[index % 3],
                rack=f"r1-{index % 2}",
                labels=["big"] if index % 3 == 0 else [],
                **kind,
            )
        for index in range(instances):
            self.add_settings(f"front-{zones[index % 3]}-{index}", zones[index % 3])
        for name in self.settings:
            self.launch(name)
        await self.wait_ready()

    async def add_worker(self, name, **kind):
        worker = Worker(self.world, self.store, name, **kind)
        worker.tickets = self.advice.tickets
        self.workers.append(worker)
        await worker.start()
        self.spawn(worker.beat())
        self.spawn(worker.work())
        return worker

    def spawn(self, work):
        self.tasks.append(asyncio.ensure_future(work))

    def add_settings(self, name, zone):
        settings = {
            "instance": name,
            "domain": zone,
            "callers_address": free_address(),
            "ready_address": free_address(),
            "control_address": free_address(),
            "log_address": self.store_address,
            "advice_address": self.advice.address,
            "lease_seconds_max": BOUNDS["lease"],
            "member_seconds": 1.0,
            "record_bytes_max": 262144,
            "append_bytes_max": 2097152,
            "files_max": 4100,
            "memory_mb": 300,
            "core_share": 0.43,
            "core_speed": 1,
        }
        self.settings[name] = settings
        (self.folder / f"{name}.json").write_text(json.dumps(settings))

    def launch(self, name):
        old = self.instances.get(name)
        if old is not None and old.poll() is None:
            return
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PLANTAINHINGE_SETTINGS"] = str(self.folder / f"{name}.json")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        log = (self.folder / f"{name}.log").open("ab")
        self.instances[name] = subprocess.Popen(
            self.command,
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        self.record.write(f"process {name} starts, pid {self.instances[name].pid}")

    def signal(self, name, number):
        self.record.write(f"{signal.Signals(number).name} to {name}")
        process = self.instances[name]
        if process.poll() is None:
            process.send_signal(number)

    def evacuate(self, zone):
        self.store.put("keyed.op", f"evacuate/{zone}", b"{}")
        self.record.write(f"zone {zone} is to get nothing more")

    def measure_use(self):
        """Return the share of the processors of all workers that is in use."""
        workers = [worker for worker in self.workers if worker.up]
        free = sum(worker.free()[0] for worker in workers)
        return 1 - free / sum(worker.cpu for worker in workers)

    async def wait_ready(self, limit=20.0):
        until = now() + limit
        for name in self.settings:
            while True:
                status, _ = await http(
                    self.settings[name]["ready_address"], "GET", "/-/ready", timeout=1
                )
                if status == 200:
                    break
                if now() > until or self.instances[name].poll() is not None:
                    log = (self.folder / f"{name}.log").read_text()
                    raise RuntimeError(f"{name} isn't ready: {log[-800:]}")
                await asyncio.sleep(0.1)

    def owner(self):
        """The instance that the newest owner's record names."""
        topic = self.store.topics.get("keyed.cells")
        for record in reversed(topic.records if topic else []):
            for name in self.settings:
                if name.encode() in record:
                    return name
        return None

    async def kill(self, name, back=0.5):
        self.signal(name, signal.SIGKILL)
        self.instances[name].wait()
        await asyncio.sleep(back)
        self.launch(name)

    def make(self, queue, steps, *, times=0, start_in=0.0, interval=0.0):
        """steps: list of dicts with a ``plan`` that only workers read."""
        name = f"{self.rng.getrandbits(64):016x}"
        plan = [step["plan"] for step in steps]
        body = {
            "spec": json.dumps({"job": name, "plan": plan}),
            "steps": [
                {k: v for k, v in step.items() if k != "plan" and v} for step in steps
            ],
        }
        job = Job(name, queue, body, steps)
        if times:
            job.times, job.interval = times, interval
            start = int((time.time() + start_in) * 1000)
            job.start_at = start / 1000
            body |= {
                "times": times,
                "startAtMs": start,
                "intervalMs": int(interval * 1000),
            }
            job.interval = int(interval * 1000) / 1000
        self.world.jobs[name] = job
        return job

    async def submit(self, job, *, tries=6, at=None):
        body = json.dumps(job.body).encode()
        job.sent = now()
        names = list(self.settings)
        for number in range(tries):
            name = at if at and number == 0 else self.rng.choice(names)
            status, _ = await http(
                self.settings[name]["callers_address"],
                "POST",
                f"/{job.queue}/{job.name}",
                body,
                (("X-Deadline-Ms", "3000"),),
            )
            job.answers.append(status)
            self.record.write(f"POST {job.name} at {name}: {status}")
            if 200 <= status < 300:
                job.accepted = job.accepted or now()
                return True
            await asyncio.sleep(0.3)
        return False

    async def get(self, job, at=None):
        name = at or self.rng.choice(list(self.settings))
        status, body = await http(
            self.settings[name]["callers_address"],
            "GET",
            f"/{job.queue}/{job.name}",
            b"",
            (("X-Deadline-Ms", "3000"),),
        )
        state = json.loads(body)["state"] if status == 200 else str(status)
        if not job.states or job.states[-1][1] != state:
            self.record.write(f"GET {job.name} at {name}: {state}")
        job.states.append((now(), state, name))
        if state == "completed":
            for k in range(max(1, job.times)):
                for step in range(len(job.steps)):
                    if not self.world.is_done(job, k, step):
                        self.world.breach(
                            "MIXED", f"{job.name} completed, step {step} of {k} isn't"
                        )
        if state == "cancelled" and not job.cancel_sent:
            self.world.breach("LOST", f"{job.name} cancelled without cause")
        return state

    async def cancel(self, job):
        job.cancel_sent = now()
        for _ in range(5):
            name = self.rng.choice(list(self.settings))
            status, _ = await http(
                self.settings[name]["callers_address"],
                "DELETE",
                f"/{job.queue}/{job.name}",
                b"",
                (("X-Deadline-Ms", "3000"),),
            )
            self.record.write(f"DELETE {job.name} at {name}: {status}")
            if 200 <= status < 300 or status == 410:
                job.cancelled = now()
                return
            await asyncio.sleep(0.3)

    def close(self):
        for process in self.instances.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.instances.values():
            process.wait()
        for worker in self.workers:
            worker.server.stop()
        for task in self.tasks:
            task.cancel()


class IdleWatch:
    """LOST: nothing of a job runs for 3 s though there is room for it twice over.

    For a task that lasts it holds from 6 s after its last run. The 3 s and the 4 s
    before them have to be calm: ``calm_since`` is the end of the last disruption.
    """

    SPAN, CALM, AFTER_RUN, MARGIN = 3.0, 4.0, 6.0, 0.5

    def __init__(self, site, *, crashes_max=1_000_000, closed=()):
        self.site, self.active, self.calm_since = site, False, now()
        # zones that nothing may be sent to
        self.closed = closed
        # of runs; tasks with more of them aren't looked at
        self.crashes_max = crashes_max
        self.idle, self.reported = {}, set()

    def begin(self):
        self.active = True

    def end(self):
        self.active, self.calm_since = False, now()

    def has_room(self, job, step):
        """Whether the sound workers have room for a task, or a gang, twice over."""
        need = step["count"] if step.get("gang") else 1
        slots = 0
        for worker in self.site.workers:
            if not worker.up or worker.state != "ready" or worker.mode:
                continue
            if worker.zone in self.closed:
                continue
            if step.get("constraints") and step["constraints"] not in worker.labels:
                continue
            cpu, mem = worker.free()
            if step.get("fills"):
                cpu = 1_000_000_000
            room = min(
                cpu // max(1, step.get("cpu", 1)), mem // max(1, step.get("memMb", 1))
            )
            slots += min(room, step.get("antiAffinity", room))
        return slots >= 2 * need

    def turns(self, job):
        for k in range(max(1, job.times)):
            if job.times and time.time() < job.start_at + k * job.interval:
                continue
            for index, step in enumerate(job.steps):
                ready = all(
                    self.site.world.is_done(job, k, b)
                    for b in step.get("dependsOn", [])
                )
                if ready and (
                    step.get("longRunning")
                    or not self.site.world.is_done(job, k, index)
                ):
                    yield k, index, step

    async def run(self):
        while True:
            await asyncio.sleep(0.1)
            for job in self.site.world.jobs.values():
                ended = job.states and job.states[-1][1] in ("completed", "failed")
                if job.accepted and not job.cancel_sent and not ended:
                    self.look(job)

    def look(self, job):
        world, turns = self.site.world, list(self.turns(job))
        busy = not turns
        for k, index, step in turns:
            tasks = [f"{job.name}.{k}.{index}.{i}" for i in range(step["count"])]
            room = self.has_room(job, step)
            busy = busy or not room or any(world.live(task) for task in tasks)
            if step.get("longRunning"):
                for task in tasks:
                    ran = bool(world.runs.get(task))
                    if self.count_crashes(task) > self.crashes_max:
                        continue
                    self.note(
                        task,
                        bool(world.live(task)) or not room,
                        self.AFTER_RUN if ran else 0.0,
                    )
        if not any(step.get("longRunning") for step in job.steps):
            self.note(job.name, busy, 0.0)

    def count_crashes(self, task):
        return sum(run.how == "crash" for run in self.site.world.runs.get(task, ()))

    def note(self, name, busy, after):
        if busy:
            self.idle.pop(name, None)
            return
        since = self.idle.setdefault(name, now())
        if self.active or name in self.reported:
            return
        limit = (
            max(since + after, self.calm_since + self.CALM) + self.SPAN + self.MARGIN
        )
        if now() > limit:
            self.reported.add(name)
            self.site.world.breach(
                "LOST",
                f"{name}: nothing runs for {now() - since:.1f} s beside room for it "
                f"twice over; calm for {now() - self.calm_since:.1f} s",
            )


def run_case(run, folder):
    """Run a case with a site of its own; exit with its code, or 2 after an error."""
    with tempfile.TemporaryDirectory() as place:
        site = Site(place, folder / "record.txt", seed=1)

        async def run_whole():
            try:
                return await run(site)
            finally:
                site.close()

        try:
            code = asyncio.run(run_whole())
        except Exception as error:
            site.record.write(f"the case couldn't run: {error!r}")
            code = 2
        site.record.write(f"exit {code}: {len(site.world.broken)} times a rule broken")
        if os.environ.get("LOGS"):
            texts = [
                (Path(place) / f"{name}.log").read_text() for name in site.settings
            ]
            Path(os.environ["LOGS"]).write_text("".join(texts))
    sys.exit(code)

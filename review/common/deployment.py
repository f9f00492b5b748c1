"""A small deployment on loopback: the store, workers, instances and a client.

The instances are processes of the project, started by the ``run`` line of the deploy
file. All else is a stand-in in this process.
"""

import asyncio
import json
import os
import shlex
import signal
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from . import wire
from .store import Store
from .worker import Worker

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, UNABLE = 0, 1, 2
RUN_SECONDS_MAX = 112
ZONES = ("perth-a", "stirling-b", "dundee-c")
HOST = "nony24.example"
QUEUE = "/lohu930/"
SERVICE = "formula-archive"
DEADLINE_MS = 3000


class CannotRunError(Exception):
    """The case can't be judged on this machine."""


class Record:
    """Writes what was sent, answered and run, one line an event."""

    def __init__(self, path):
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()
        self.rows = []

    def __call__(self, event, **fields):
        at = time.monotonic() - self.began
        self.rows.append((at, event, fields))
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        print(f"{at:8.3f} {event} {text}", file=self.file, flush=True)

    def now(self):
        return time.monotonic() - self.began

    def find(self, event, **fields):
        """Return the rows of an event whose fields have these values."""
        return [
            row
            for row in self.rows
            if row[1] == event
            and all(row[2].get(name) == value for name, value in fields.items())
        ]


class Deployment:
    """All parts of one run of a case."""

    def __init__(self, record, folder, *, config=None):
        self.record = record
        self.folder = folder
        self.store = Store()
        self.workers = {}
        self.works = {}
        self.sizes = {}
        self.processes = {}
        self.fronts = {}
        self.ready = {}
        self.config = config or build_config()

    async def start(self, *, instances=3, hint=""):
        await self.store.start()
        self.store.put("keyed.op", "config", json.dumps(self.config).encode())
        for index in range(instances):
            await self.start_instance(f"front-{index + 1}", index, hint)
        for name in self.processes:
            await self.wait_until(
                lambda name=name: self.is_ready(name), 30, f"{name} is ready"
            )

    async def add_worker(
        self, name, *, cpu=32000, memory=125000, zone=ZONES[0], rack="r1-1", kind="a"
    ):
        worker = Worker(
            name,
            self.store,
            self.record,
            self.plan,
            sizes=self.size,
            cpu=cpu,
            memory=memory,
            zone=zone,
            rack=rack,
            kind=kind,
            service=SERVICE,
        )
        self.workers[name] = worker
        await worker.start()
        return worker

    def plan(self, task, attempt, worker):
        return self.works[task.split(".")[0]](task, attempt, worker)

    def size(self, task):
        job, _, step, _ = task.split(".")
        spec = self.sizes[job][int(step)]
        cpu = 0 if spec.get("fills") else spec.get("cpu", 0)
        return cpu, spec.get("memMb", 0)

    async def start_instance(self, name, index, hint):
        """Start an instance on addresses of its own."""
        front, ready, control = (wire.find_free_address() for _ in range(3))
        settings = {
            "instance": name,
            "domain": ZONES[index % len(ZONES)],
            "callers_address": front,
            "ready_address": ready,
            "control_address": control,
            "log_address": self.store.address,
            "advice_address": hint,
            "lease_seconds_max": 6.0,
            "member_seconds": 1.0,
            "record_bytes_max": 262144,
            "append_bytes_max": 2097152,
            "files_max": 4100,
            "core_share": 0.43,
            "core_speed": 1,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        self.fronts[name], self.ready[name] = front, ready
        await self.run_instance(name)

    async def run_instance(self, name):
        """Start the process of an instance, as the deploy file says."""
        path = self.folder / f"{name}.json"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        program, *arguments = shlex.split(deploy["roles"]["entry"]["run"])
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PLANTAINHINGE_SETTINGS": str(path),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / f"{name}.log").open("a") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                program, *arguments, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def kill(self, name):
        """Kill an instance's process; ``run_instance`` starts it again."""
        self.record("kill", instance=name)
        os.kill(self.processes[name].pid, signal.SIGKILL)
        await self.processes[name].wait()

    async def is_ready(self, name):
        if self.processes[name].returncode is not None:
            raise CannotRunError(f"{name} ended at its start")
        try:
            status, _ = await wire.call(self.ready[name], "GET", "/-/ready", timeout=1)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def call(self, method, path, body=None, *, instance=None, timeout=3.0):
        """Make one call as a client; return the status (0: no answer) and the body."""
        names = list(self.fronts)
        name = instance or names[len(self.record.rows) % len(names)]
        headers = (("Host", HOST), ("X-Deadline-Ms", str(DEADLINE_MS)))
        try:
            status, content = await wire.call(
                self.fronts[name],
                method,
                path,
                body=body,
                headers=headers,
                timeout=timeout,
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status, content = 0, {}
        self.record(
            "call",
            instance=name,
            method=method,
            path=path,
            status=status,
            answer=json.dumps(content, separators=(",", ":")),
        )
        return status, content

    async def submit(
        self, job, steps, work, *, spec="text", queue=QUEUE, tries=8, **schedule
    ):
        """Submit a job until it is accepted; ``work`` tells what its tasks do."""
        self.works[job] = work
        self.sizes[job] = steps
        body = {"spec": spec, "steps": steps} | schedule
        self.record("submit", job=job, body=json.dumps(body))
        for _ in range(tries):
            status, _ = await self.call("POST", queue + job, body)
            if 200 <= status < 300:
                self.record("accepted", job=job)
                return self.record.now()
            await asyncio.sleep(0.5)
        raise CannotRunError(f"job {job} was not accepted")

    async def read_state(self, job, *, queue=QUEUE):
        status, content = await self.call("GET", queue + job)
        return content.get("state", status)

    def running(self, job):
        """Return the runs of a job's tasks on all workers."""
        return [
            run
            for worker in self.workers.values()
            for run in worker.runs.values()
            if run.job == job
        ]

    async def wait_until(self, condition, seconds, what):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"not within {seconds} s: {what}")

    async def pause(self, seconds):
        await asyncio.sleep(seconds)

    async def holds_within(self, condition, seconds):
        """Return whether a condition comes true within some seconds."""
        try:
            await self.wait_until(condition, seconds, "")
        except CannotRunError:
            return False
        return True

    def find_owner(self):
        """Return the name of the instance that the store's log has as the owner."""
        newest = self.store.topic("keyed.cells").newest.get("owner")
        if newest is None:
            return None
        for name in self.processes:
            if f"{name}/".encode() in newest[1]:
                return name
        return None

    async def close(self):
        for worker in self.workers.values():
            worker.stop()
        for process in self.processes.values():
            if process.returncode is None:
                os.kill(process.pid, signal.SIGKILL)
        for process in self.processes.values():
            await process.wait()


def build_config(*, version=1, attempts=2, enforce=True, hint=None):
    route = {
        "name": "counter-lookup",
        "host": HOST,
        "pathPrefix": QUEUE,
        "service": SERVICE,
        "priority": 0,
        "attempts": attempts,
        "slackFactor": 2.0,
        "targetLatencyMs": 250,
    }
    if hint is not None:
        route["hint"] = hint
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": SERVICE, "enforceCapacity": enforce}],
        "limits": {"maxBodyBytes": 262144},
    }


def run_case(path, scenario):
    """Run a scenario and exit with its result; ``TROUBLE=0`` leaves the fault out."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(path).resolve().parent / "record.txt")
    record("begin", trouble=trouble)

    async def run():
        # a caller that ends the script ends its processes as well
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            deployment = Deployment(record, Path(folder))
            try:
                async with asyncio.timeout(RUN_SECONDS_MAX):
                    return await scenario(deployment, trouble)
            finally:
                await deployment.close()
                if os.environ.get("KEEP_LOGS"):
                    for log in Path(folder).glob("*.log"):
                        target = Path(os.environ["KEEP_LOGS"]) / log.name
                        target.write_bytes(log.read_bytes())

    try:
        broken = asyncio.run(run())
    except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
        record("unable", cause=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(UNABLE)
    record("result", rule="broken" if broken else "held", why=broken or "")
    print(f"rule broken: {broken}" if broken else "rule held")
    sys.exit(BROKEN if broken else HELD)

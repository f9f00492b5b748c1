"""A small site on loopback: real instances beside stand-ins for all that is outside."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from plantainhinge.adapters.stream_http_client import HttpCall, HttpClient
from plantainhinge.core.errors import PlantainhingeError
from plantainhinge.core.ids import Seconds
from standins.addresses import find_free_address
from standins.platform_store import StandInStore

from .advice import Advice
from .record import Record
from .worker import Worker

ROOT = Path(__file__).resolve().parents[2]
HOST = "archive.example"
PREFIX = "/jobs/"
# figures of the users' smaller sites
VISIBLE_SECONDS = 3.0
FINISH_SECONDS = 14.0
LEASE_SECONDS_MAX = 10.0
MEMBER_SECONDS = 1.0
CALL_SECONDS = 3.0
START_SECONDS_MAX = 20.0
RETRIES_MAX = 4

# exit statuses; run.sh turns them into 1, 0 and 2. An error of Python exits with 1.
BROKEN, HELD, NOT_RUN = 10, 0, 2


class CannotRunError(Exception):
    """The case could not be run to its check."""


@dataclass
class Job:
    """A submitted job; times are seconds of the record."""

    name: str
    sent_at: float
    accepted_at: float | None = None
    statuses: list[int] = field(default_factory=list)


@dataclass
class Site:
    """The store, the workers, the instances and a client of the site."""

    folder: Path
    record: Record
    config: dict
    advice: "Advice | None" = None
    workers: dict[str, Worker] = field(default_factory=dict)
    processes: "dict[str, subprocess.Popen[bytes]]" = field(default_factory=dict)
    clients: dict[str, HttpClient] = field(default_factory=dict)
    jobs: list[Job] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.store = StandInStore(find_free_address())

    async def start(self, *, workers: list[dict], instances: int) -> None:
        """Start all parts; the first job shows that work is done."""
        await self.store.start()
        self.store.put("keyed.op", "config", json.dumps(self.config).encode())
        for index, fields in enumerate(workers):
            await self.add_worker(f"w{index}", **fields)
        ready = [self._start_instance(f"front-{index}") for index in range(instances)]
        for address in ready:
            await self.wait_until(lambda a=address: is_ready(a), START_SECONDS_MAX)

    async def add_worker(self, name: str, **fields: object) -> None:
        """Start one more worker."""
        if self.advice is not None:
            fields["tickets"] = self.advice.is_valid
        self.workers[name] = Worker(
            name=name,
            address=find_free_address(),
            store=self.store,
            record=self.record,
            fleet=self.workers,
            **fields,
        )
        await self.workers[name].start()

    def _start_instance(self, name: str) -> str:
        """Start an instance as the deploy file says; return its readiness address."""
        addresses = [find_free_address() for _ in range(3)]
        settings = {
            "instance": name,
            "domain": "a",
            "callers_address": addresses[0],
            "ready_address": addresses[1],
            "control_address": addresses[2],
            "log_address": self.store.address,
            "advice_address": self.advice.address if self.advice else "",
            "lease_seconds_max": LEASE_SECONDS_MAX,
            "member_seconds": MEMBER_SECONDS,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        with (self.folder / f"{name}.log").open("wb") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *command[1:]],
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "PYTHONPATH": "target/deps",
                    "PLANTAINHINGE_SETTINGS": str(path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.clients[name] = HttpClient(addresses[0], 64)
        return addresses[1]

    async def wait_until(
        self, condition: Callable[[], Awaitable[bool]], seconds: float
    ) -> None:
        """Wait for a condition without which the case can't be run."""
        until = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > until:
                raise CannotRunError("a condition for the case wasn't met in time")
            await asyncio.sleep(0.05)

    async def call(
        self, instance: str, method: str, path: str, body: bytes = b""
    ) -> tuple[int, dict]:
        """Call one instance; return status 0 if there was no answer."""
        call = HttpCall(
            method=method,
            path=path,
            body=body,
            headers=(
                ("Host", HOST),
                ("Content-Type", "application/json"),
                ("X-Deadline-Ms", str(int(1000 * CALL_SECONDS))),
            ),
        )
        try:
            response = await self.clients[instance].call(
                call, timeout=Seconds(CALL_SECONDS)
            )
        except PlantainhingeError:
            return 0, {}
        content = json.loads(response.body) if response.body else {}
        return response.status, content

    async def submit(self, spec: dict, steps: list[dict], prefix: str = PREFIX) -> Job:
        """Submit a job as a client does, with repeats at other instances."""
        job = Job(os.urandom(8).hex(), self.record.now)
        self.jobs.append(job)
        body = json.dumps({"spec": json.dumps(spec), "steps": steps}).encode()
        names = list(self.clients)
        for attempt in range(1 + RETRIES_MAX):
            instance = names[(len(self.jobs) + attempt) % len(names)]
            self.record.write("POST", job=job.name, at=instance, steps=steps)
            status, _ = await self.call(instance, "POST", prefix + job.name, body)
            self.record.write("answer", job=job.name, status=status)
            job.statuses.append(status)
            if 200 <= status < 300:
                job.accepted_at = self.record.now
                break
            await asyncio.sleep(0.3)
        return job

    async def read_state(self, job: Job, prefix: str = PREFIX) -> str:
        """Return the state of a job, or the status of the answer if it has none."""
        instance = list(self.clients)[len(job.name) % len(self.clients)]
        status, content = await self.call(instance, "GET", prefix + job.name)
        state = str(content.get("state", status))
        self.record.write("state", job=job.name, state=state)
        return state

    async def complete(self, job: Job, seconds: float) -> None:
        """Wait until a job is completed, as the case needs that to go on."""

        async def is_completed() -> bool:
            return await self.read_state(job) == "completed"

        await self.wait_until(is_completed, seconds)

    def find_runs(self, job: Job) -> int:
        """Return how many runs of a job's tasks there are now."""
        return sum(
            run.task.startswith(job.name)
            for worker in self.workers.values()
            for run in worker.runs.values()
        )

    def close(self) -> None:
        """End the instances."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()


def make_config(**route: object) -> dict:
    """Return a configuration with one queue."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "r-jobs",
                "host": HOST,
                "pathPrefix": PREFIX,
                "kind": "unsafe",
                "timeoutMs": 3000,
                "targetLatencyMs": 250,
                "priority": 0,
                "service": "archive",
                "attempts": 3,
                "slackFactor": 1.5,
            }
            | route
        ],
        "services": [
            {"name": "archive", "healthPath": "/health", "enforceCapacity": True}
        ],
    }


async def is_ready(address: str) -> bool:
    """Return whether an instance says that it is ready."""
    call = HttpCall(method="GET", path="/-/ready")
    try:
        response = await HttpClient(address).call(call, timeout=Seconds(1.0))
    except PlantainhingeError:
        return False
    return response.status == 200


def is_troubled() -> bool:
    """Return whether the disruption is to be brought about, as run.sh passes it on.

    Raises
    ------
    CannotRunError
        If the script wasn't told, so that neither is taken for granted.
    """
    match sys.argv[1:]:
        case ["with-trouble"]:
            return True
        case ["without-trouble"]:
            return False
    raise CannotRunError(f"with-trouble or without-trouble, not {sys.argv[1:]}")


def run_case(
    folder: Path,
    scenario: Callable[[Site], Awaitable[bool]],
    *,
    workers: list[dict],
    instances: int = 2,
    config: dict | None = None,
    prepare: "Callable[[Site], Awaitable[None]] | None" = None,
) -> int:
    """Run a scenario, which returns whether the rule held; return the exit status."""

    @asynccontextmanager
    async def open_site() -> AsyncIterator[Site]:
        with (
            tempfile.TemporaryDirectory() as temporary,
            Record(folder / "record.txt") as record,
        ):
            site = Site(Path(temporary), record, config or make_config())
            try:
                if prepare is not None:
                    await prepare(site)
                await site.start(workers=workers, instances=instances)
                yield site
            finally:
                site.close()

    async def run() -> int:
        async with open_site() as site:
            held = await scenario(site)
            site.record.write("verdict", rule="held" if held else "broken")
            return HELD if held else BROKEN

    # run.sh ends a script that takes too long; its processes must end with it
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        return asyncio.run(run())
    except Exception:
        # an error of the script must not be taken for a broken rule
        traceback.print_exc()
        return NOT_RUN

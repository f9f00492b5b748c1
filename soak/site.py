"""The site of a soak run: instance processes, stand-ins and proxies between them."""

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

from plantainhinge.adapters.stream_http_client import HttpCall, HttpClient
from plantainhinge.core.errors import PlantainhingeError
from plantainhinge.core.ids import Seconds
from standins.addresses import find_free_address
from standins.platform_store import StandInStore
from standins.supervisor import ignore_reload_signals, send_signal

from .fronts import StoreFront
from .observations import Observations
from .proxy import Proxy
from .workers import SoakWorker

ROOT = Path(__file__).parent.parent
HOST_NAME = "archive.example"
DOMAINS = ("a", "b", "c")
MEMBER_SECONDS = 1.0
LEASE_SECONDS = 4.0
READY_TIMEOUT_SECONDS = 20.0
RESTART_DELAY_SECONDS = 0.3
WORKER_MILLICORES = 8000
# workers' clocks differ, and some run slow
CLOCK_STEP_SECONDS = 1000.0
CLOCK_RATES = (1.0, 0.98)
DEADLY_DELAY_SECONDS = 0.01
DEADLY_DOWN_SECONDS = 1.7


@dataclass
class SoakInstance:
    """One instance: its process and the proxies in front of and behind it.

    Parameters
    ----------
    starts : int
        Number of times its process was started.
    stop_requested : bool
        Whether the soak test itself stopped the process.
    """

    name: str
    domain: str
    callers: Proxy
    log: Proxy
    front: StoreFront
    control_address: str
    ready_address: str
    settings: Path
    output: Path
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    stop_requested: bool = False
    launch_lock: asyncio.Lock = field(default_factory=asyncio.Lock)


@dataclass
class SoakSite:
    """A store, workers and instances with proxies between them.

    Parameters
    ----------
    folder : Path
        Directory of the settings and log files.
    paths : dict of tuple of str and str to Proxy
        The proxy between each instance and each worker and peer, by their names.
    """

    folder: Path
    observations: Observations = field(default_factory=Observations)
    instances: dict[str, SoakInstance] = field(default_factory=dict)
    workers: dict[str, SoakWorker] = field(default_factory=dict)
    worker_proxies: dict[str, Proxy] = field(default_factory=dict)
    paths: dict[tuple[str, str], Proxy] = field(default_factory=dict)
    config_version: int = 0
    unexpected_exits: list[str] = field(default_factory=list)
    _crashes: "set[asyncio.Task[None]]" = field(default_factory=set)

    def __post_init__(self) -> None:
        self.store = StandInStore(find_free_address())

    async def start(self, *, instances: int, workers: int) -> None:
        """Start all components and wait until all instances are ready."""
        await self.store.start()
        self.change_configuration()
        for index in range(workers):
            await self._add_worker(f"w{index}", DOMAINS[index % len(DOMAINS)])
        for index in range(instances):
            await self._add_instance(f"i{index}", DOMAINS[index % len(DOMAINS)])
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            for instance in self.instances.values():
                while not await self.is_ready(instance):
                    await asyncio.sleep(0.05)

    def change_configuration(self) -> None:
        """Publish the same configuration under the next version."""
        self.config_version += 1
        route = {
            "name": "jobs",
            "host": HOST_NAME,
            "pathPrefix": "/jobs/",
            "service": "archive",
            "attempts": 3,
            "slackFactor": 2.0,
            "targetLatencyMs": 250,
        }
        config = {"version": self.config_version, "routes": [route]}
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    async def launch(self, instance: SoakInstance) -> None:
        """Start the process of an instance unless it is running."""
        async with instance.launch_lock:
            if instance.process is None or instance.process.returncode is not None:
                await self._launch(instance)

    async def _launch(self, instance: SoakInstance) -> None:
        instance.starts += 1
        with instance.output.open("a") as output, ignore_reload_signals():
            instance.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "plantainhinge.platform",
                cwd=ROOT,
                env=os.environ | {"PLANTAINHINGE_SETTINGS": str(instance.settings)},
                stdout=output,
                stderr=output,
            )
        instance.stop_requested = False

    async def stop(self, instance: SoakInstance, stop_signal: signal.Signals) -> None:
        """Send a signal that ends the process of an instance, and wait for its exit."""
        process = instance.process
        if process is None or process.returncode is not None:
            return
        instance.stop_requested = True
        send_signal(process, stop_signal)
        await process.wait()

    async def restart(
        self, instance: SoakInstance, stop_signal: signal.Signals
    ) -> None:
        """Stop the process of an instance and start it again."""
        await self.stop(instance, stop_signal)
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        await self.launch(instance)

    def signal(self, instance: SoakInstance, signal_number: signal.Signals) -> None:
        """Send a signal to the process of an instance if it is running."""
        process = instance.process
        if process is not None and process.returncode is None:
            send_signal(process, signal_number)

    def find_owner(self) -> SoakInstance | None:
        """Return the instance that owns the cell according to the log, if any."""
        topic = self.store.topics.get("keyed.cells")
        if topic is None or not topic.records:
            return None
        record = topic.records[-1]
        for name, instance in self.instances.items():
            if f"{name}/".encode() in record:
                return instance
        return None

    async def restart_exited(self) -> None:
        """Restart and record instances that exited unexpectedly, until cancelled."""
        while True:
            await asyncio.sleep(RESTART_DELAY_SECONDS)
            for instance in self.instances.values():
                process = instance.process
                if process is None or process.returncode is None:
                    continue
                if not instance.stop_requested:
                    note = f"{instance.name} ended by itself with {process.returncode}"
                    self.unexpected_exits.append(note)
                    await self.launch(instance)

    async def is_ready(self, instance: SoakInstance) -> bool:
        """Return whether the readiness endpoint of an instance answers 200."""
        call = HttpCall(method="GET", path="/-/ready")
        client = HttpClient(instance.ready_address)
        try:
            return (await client.call(call, timeout=Seconds(1.0))).status == 200
        except PlantainhingeError:
            return False
        finally:
            client.close()

    async def crash_worker(self, name: str, down_seconds: float) -> None:
        """Crash a worker; it comes back under its id or, each other time, a new one."""
        worker, proxy = self.workers[name], self.worker_proxies[name]
        if worker.down:
            return
        worker.down = proxy.refusing = True
        proxy.reset()
        worker.crash()
        await asyncio.sleep(down_seconds)
        if worker.start_count % 2:
            self.store.put("keyed.servers", worker.name, b"")
            worker.name = f"{name}-{worker.start_count}"
        worker.down = proxy.refusing = False

    def restore_capacities(self) -> None:
        """Let all workers grow to the capacity that they had at first."""
        for worker in self.workers.values():
            worker.set_capacity(WORKER_MILLICORES)

    def crash_soon(self, name: str) -> None:
        """Crash a worker by what it has just started."""

        async def crash() -> None:
            await asyncio.sleep(DEADLY_DELAY_SECONDS)
            await self.crash_worker(name, DEADLY_DOWN_SECONDS)

        task = asyncio.create_task(crash())
        self._crashes.add(task)
        task.add_done_callback(self._crashes.discard)

    async def close(self) -> None:
        """Kill all processes that this site started."""
        for instance in self.instances.values():
            self.signal(instance, signal.SIGCONT)
            await self.stop(instance, signal.SIGKILL)

    async def _add_worker(self, name: str, domain: str) -> None:
        proxy = Proxy(listen=find_free_address(), upstream=find_free_address())
        worker = SoakWorker(
            name,
            proxy.listen,
            self.store,
            listen=proxy.upstream,
            domain=domain,
            observations=self.observations,
        )
        worker.on_deadly = partial(self.crash_soon, name)
        worker.set_capacity(WORKER_MILLICORES)
        worker.clock_offset = CLOCK_STEP_SECONDS * len(self.workers)
        worker.clock_rate = CLOCK_RATES[len(self.workers) % len(CLOCK_RATES)]
        self.workers[name], self.worker_proxies[name] = worker, proxy
        await worker.start()
        await proxy.start()

    async def _add_instance(self, name: str, domain: str) -> None:
        callers = Proxy(listen=find_free_address(), upstream=find_free_address())
        front = StoreFront(find_free_address(), self.store)
        log = Proxy(listen=find_free_address(), upstream=front.address)
        ready, control = find_free_address(), find_free_address()
        settings = {
            "instance": name,
            "domain": domain,
            "callers_address": callers.upstream,
            "ready_address": ready,
            "control_address": control,
            "log_address": log.listen,
            "lease_seconds_max": LEASE_SECONDS,
            "member_seconds": MEMBER_SECONDS,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        output = self.folder / f"{name}.log"
        instance = SoakInstance(
            name, domain, callers, log, front, control, ready, path, output
        )
        for peer in self.instances.values():
            await self._add_path(instance, peer.name, peer.control_address)
            await self._add_path(peer, name, control)
        for worker, proxy in self.worker_proxies.items():
            await self._add_path(instance, worker, proxy.listen)
        self.instances[name] = instance
        await callers.start()
        await front.start()
        await log.start()
        await self.launch(instance)

    async def _add_path(
        self, instance: SoakInstance, target: str, address: str
    ) -> None:
        """Let an instance reach a worker or a peer through a proxy of its own."""
        proxy = Proxy(listen=find_free_address(), upstream=address)
        self.paths[instance.name, target] = proxy
        instance.front.add_path(address, proxy.listen)
        await proxy.start()


@asynccontextmanager
async def open_site(
    folder: Path, *, instances: int, workers: int
) -> AsyncIterator[SoakSite]:
    """Start a site; all of its processes are killed when the block ends."""
    site = SoakSite(folder)
    try:
        await site.start(instances=instances, workers=workers)
        yield site
    finally:
        await site.close()

"""Helpers of the tests that run real instances on stand-ins of the platform."""

import asyncio
import json
import os
import signal
import sys
from contextlib import asynccontextmanager
from pathlib import Path

from plantainhinge.adapters.stream_http_client import HttpCall, HttpClient
from plantainhinge.core.errors import PlantainhingeError
from standins.addresses import find_free_address
from standins.platform_store import StandInStore
from standins.platform_worker import StandInWorker
from standins.supervisor import send_signal

ROOT = Path(__file__).parent.parent
HOST_HEADER = ("Host", "archive.example")
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "jobs",
            "host": "archive.example",
            "pathPrefix": "/jobs/",
            "service": "archive",
            "attempts": 2,
            "slackFactor": 2.0,
            "targetLatencyMs": 250,
        }
    ],
}


class Site:
    """A store, workers and instances, with one client for each instance."""

    def __init__(self, folder, *, limits=None):
        self.folder = folder
        self.limits = limits or {}
        self.settings = {}
        self.store = StandInStore(find_free_address())
        self.workers = []
        self.instances = {}
        self.clients = {}

    async def start(self, *, workers, instances):
        await self.store.start()
        self.store.put("keyed.op", "config", json.dumps(CONFIG).encode())
        for index in range(workers):
            worker = StandInWorker(f"w{index}", find_free_address(), self.store)
            self.workers.append(worker)
            await worker.start()
        for index in range(instances):
            await self.start_instance(f"i{index}")

    async def start_instance(self, name):
        settings = {
            "instance": name,
            "domain": "a",
            "callers_address": find_free_address(),
            "ready_address": find_free_address(),
            "control_address": find_free_address(),
            "log_address": self.store.address,
            "lease_seconds_max": 4.0,
            "member_seconds": 1.0,
        } | self.limits
        self.settings[name] = settings
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.instances[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "plantainhinge.platform",
            cwd=ROOT,
            env=os.environ | {"PLANTAINHINGE_SETTINGS": str(path)},
            stdout=(self.folder / f"{name}.log").open("w"),
        )
        self.clients[name] = HttpClient(settings["callers_address"])
        await self.wait(lambda: self.is_ready(settings["ready_address"]), limit=15)

    async def is_ready(self, address):
        try:
            call = HttpCall(method="GET", path="/-/ready")
            return (await HttpClient(address).call(call, timeout=1)).status == 200
        except PlantainhingeError:
            return False

    async def wait(self, condition, *, limit=20.0):
        async with asyncio.timeout(limit):
            while not await condition():
                await asyncio.sleep(0.05)

    async def call(self, method, job, body=b"", *, start=0):
        """Call the instances in turn until one gives a final response; return it."""
        names = list(self.clients)
        for index in range(60):
            client = self.clients[names[(start + index) % len(names)]]
            call = HttpCall(
                method=method, path=f"/jobs/{job}", body=body, headers=(HOST_HEADER,)
            )
            try:
                response = await client.call(call, timeout=3)
            except PlantainhingeError:
                await asyncio.sleep(0.1)
                continue
            if response.status not in (429, 500, 503, 504):
                return response
            await asyncio.sleep(0.1)
        raise AssertionError(f"no instance answered {method} {job}")

    async def submit(self, job, *, seconds, count=1, **step):
        steps = [{"count": count, "cpu": 1000, "estRuntimeMs": seconds * 1000} | step]
        body = json.dumps({"spec": str(seconds), "steps": steps}).encode()
        response = await self.call("POST", job, body, start=int(job, 16))
        assert response.status == 200

    async def read_state(self, job):
        response = await self.call("GET", job, start=int(job, 16) + 1)
        return (
            json.loads(response.body)["state"] if response.status == 200 else "unknown"
        )

    async def wait_for(self, state, *jobs, limit=30.0):
        async def reached():
            return [await self.read_state(job) for job in jobs] == [state] * len(jobs)

        await self.wait(reached, limit=limit)

    def find_owner(self):
        key = len("owner")
        record = self.store.topics["keyed.cells"].records[-1][1 + key :]
        return next(name for name in self.instances if name.encode() in record)

    async def kill(self, name):
        send_signal(self.instances[name], signal.SIGKILL)
        await self.instances.pop(name).wait()
        del self.clients[name]

    def has_started(self, count):
        async def condition():
            return len(self.list_starts()) == count

        return condition

    async def is_idle(self):
        return not any(worker.attempts for worker in self.workers)

    def list_starts(self):
        return [start for worker in self.workers for start in worker.started]

    async def close(self):
        for process in self.instances.values():
            send_signal(process, signal.SIGKILL)
            await process.wait()


def make_jobs(count):
    return [f"{index:016x}" for index in range(1, count + 1)]


def run_site(folder, scenario, *, workers=3, instances=2, limits=None):
    """Run a scenario on a site; ``limits`` are settings of its instances."""

    @asynccontextmanager
    async def open_site():
        site = Site(folder, limits=limits)
        try:
            await site.start(workers=workers, instances=instances)
            yield site
        finally:
            await site.close()

    async def run():
        async with open_site() as site:
            await scenario(site)

    asyncio.run(run())

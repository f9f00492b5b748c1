"""Real instance processes on stand-ins for the platform's store and workers."""

import asyncio
import json
import os
import signal
import sys
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from plantainhinge.adapters.stream_http_client import HttpCall, HttpClient
from plantainhinge.core.errors import PlantainhingeError
from standins.addresses import find_free_address
from standins.platform_store import StandInStore
from standins.platform_worker import StandInWorker
from standins.supervisor import ignore_reload_signals, send_signal

pytestmark = pytest.mark.processes

ROOT = Path(__file__).parent.parent
SIGHUP_MASK = 1 << (signal.SIGHUP - 1)
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

    def __init__(self, folder):
        self.folder = folder
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
        }
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


def run_site(folder, scenario, *, workers=3, instances=2):
    @asynccontextmanager
    async def open_site():
        site = Site(folder)
        try:
            await site.start(workers=workers, instances=instances)
            yield site
        finally:
            await site.close()

    async def run():
        async with open_site() as site:
            await scenario(site)

    asyncio.run(run())


def test_jobs_run_once_when_their_owner_is_killed(tmp_path):
    async def scenario(site):
        jobs = make_jobs(8)
        for job in jobs[:4]:
            await site.submit(job, seconds=2.0, count=3)
        await site.kill(site.find_owner())
        for job in jobs[4:]:
            await site.submit(job, seconds=0.3, count=2)
        await site.wait_for("completed", *jobs)
        tasks = [task for task, _ in site.list_starts()]
        assert sorted(tasks) == sorted(set(tasks))
        assert len(tasks) == 4 * 3 + 4 * 2

    run_site(tmp_path, scenario)


def test_graceful_stop_loses_no_call_and_starts_no_task_twice(tmp_path):
    async def scenario(site):
        jobs = make_jobs(6)
        for job in jobs[:3]:
            await site.submit(job, seconds=1.5, count=2)
        owner = site.find_owner()
        send_signal(site.instances[owner], signal.SIGTERM)
        for job in jobs[3:]:
            await site.submit(job, seconds=0.3)
        assert await site.instances.pop(owner).wait() == 0
        del site.clients[owner]
        await site.wait_for("completed", *jobs)
        tasks = [task for task, _ in site.list_starts()]
        assert sorted(tasks) == sorted(set(tasks))

    run_site(tmp_path, scenario)


def test_running_tasks_finish_while_the_store_is_down(tmp_path):
    async def scenario(site):
        (first, second) = make_jobs(2)
        await site.submit(first, seconds=1.0, count=2)
        await site.wait(site.has_started(2))
        site.store.down = True
        await site.wait(site.is_idle)
        site.store.down = False
        await site.submit(second, seconds=0.2)
        await site.wait_for("completed", first, second)
        assert len(site.list_starts()) == 3

    run_site(tmp_path, scenario)


def test_lost_responses_of_the_store_cause_no_duplicate_starts(tmp_path):
    async def scenario(site):
        jobs = make_jobs(4)
        for job in jobs:
            site.store.lost_responses = 1
            await site.submit(job, seconds=0.3, count=2)
        await site.wait_for("completed", *jobs)
        assert len(site.list_starts()) == 8

    run_site(tmp_path, scenario)


def test_long_running_task_moves_off_an_unresponsive_worker_and_is_cancelled(tmp_path):
    async def scenario(site):
        (job,) = make_jobs(1)
        await site.submit(job, seconds=0, longRunning=True)
        await site.wait_for("running", job)

        async def runs():
            return sum(len(worker.attempts) for worker in site.workers) == 1

        await site.wait(runs)
        worker = next(worker for worker in site.workers if worker.attempts)
        worker.unresponsive = True
        others = [other for other in site.workers if other is not worker]

        async def moved():
            return any(other.attempts for other in others)

        await site.wait(moved, limit=15)
        assert worker.attempts == {}
        assert (await site.call("DELETE", job)).status == 200

        async def gone():
            return not any(other.attempts for other in others)

        await site.wait(gone)
        assert await site.read_state(job) == "cancelled"

    run_site(tmp_path, scenario)


def test_a_reload_signal_while_a_process_starts_does_not_end_it(tmp_path):
    async def scenario(site):
        starting = asyncio.create_task(site.start_instance("late"))
        async with asyncio.timeout(15):
            while "late" not in site.instances:
                await asyncio.sleep(0)
            process = site.instances["late"]
            while not read_signals(process.pid, "SigIgn") & SIGHUP_MASK:
                assert not read_signals(process.pid, "SigCgt") & SIGHUP_MASK, (
                    "the handler is already installed"
                )
                await asyncio.sleep(0.001)
        send_signal(process, signal.SIGHUP)
        await starting
        assert process.returncode is None

    run_site(tmp_path, scenario, workers=1, instances=1)


def test_reload_signals_from_the_start_to_the_exit_do_not_end_a_process(tmp_path):
    """The supervisor starts it with the signal ignored, as the install page asks."""

    async def scenario(site):
        with ignore_reload_signals():
            starting = asyncio.create_task(site.start_instance("late"))
            while "late" not in site.instances:
                await asyncio.sleep(0)
        process = site.instances["late"]

        async def send_signals():
            while process.returncode is None:
                send_signal(process, signal.SIGHUP)
                await asyncio.sleep(0.001)

        sending = asyncio.create_task(send_signals())
        await starting
        send_signal(process, signal.SIGTERM)
        assert await process.wait() == 0
        await sending
        del site.instances["late"], site.clients["late"]

    run_site(tmp_path, scenario, workers=1, instances=1)


def read_signals(pid, kind):
    """Return the ``SigIgn`` (ignored) or ``SigCgt`` (caught) mask of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == kind:
            return int(value, 16)
    return 0

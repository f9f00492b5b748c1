"""Real instance processes on stand-ins for the platform's store and workers."""

import asyncio
import signal
from pathlib import Path

import pytest

from standins.supervisor import ignore_reload_signals, send_signal

from .platform_sites import make_jobs, run_site

pytestmark = pytest.mark.processes

SIGHUP_MASK = 1 << (signal.SIGHUP - 1)


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

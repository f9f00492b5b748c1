"""The worker that runs a task that lasts crashes, four times in a row."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit-3"))
from site3 import now, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS, CORES, TASKS, CRASHES = 8, 8, 6, 4
DOWN_SECONDS, RUN_SECONDS = 1.0, 4.0


async def run(site):
    await site.start(workers=WORKERS, instances=3, cpu=CORES * 1000)
    job = site.make(
        "fast",
        [
            {
                "count": TASKS,
                "cpu": 1000,
                "memMb": 100,
                "estRuntimeMs": 500,
                "longRunning": True,
                "plan": {"t": 1.0},
            }
        ],
    )
    if not await site.submit(job):
        return 2
    task = f"{job.name}.0.0.0"
    for _ in range(CRASHES):
        run = await wait_for_run(site, job, task)
        if run is None:
            break
        await asyncio.sleep(RUN_SECONDS)
        if TROUBLE:
            worker = site.world.workers[run.worker]
            worker.crash()
            await asyncio.sleep(DOWN_SECONDS)
            await worker.start()
    until = now() + 15
    while now() < until:
        await asyncio.sleep(1)
        if await site.get(job) == "failed":
            failed = [
                run
                for runs in site.world.runs.values()
                for run in runs
                if run.how == "failed"
            ]
            if not failed:
                site.world.breach(
                    "LOST",
                    f"{job.name} is shown as failed; no run of its tasks ended failed",
                )
            break
    await asyncio.sleep(2)
    live = sum(
        len(site.world.live(f"{job.name}.0.0.{index}")) for index in range(TASKS)
    )
    site.record.write(f"{live} of {TASKS} tasks run")
    site.world.check_end()
    return 1 if site.world.broken else 0


async def wait_for_run(site, job, task):
    until = now() + 20
    while now() < until:
        live = site.world.live(task)
        if live:
            return live[0]
        if job.states and job.states[-1][1] == "failed":
            return None
        await asyncio.sleep(0.2)
    return None


run_case(run, HERE)

"""Empty workers are added while a queue's jobs need advice."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit-3"))
from site3 import Worker, now, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS, ADDED = 24, 6
DECISION, PERIOD = 0.2, 0.1


async def run(site):  # noqa: C901
    hint = site.queues[2]["hint"]
    hint["decisionMs"], hint["periodMs"] = int(DECISION * 1000), int(PERIOD * 1000)
    await site.start(workers=WORKERS, instances=3, cpu=8000)
    site.advice.decision, site.advice.period = DECISION, PERIOD
    step = {
        "count": 2,
        "cpu": 1000,
        "memMb": 100,
        "estRuntimeMs": 1000,
        "plan": {"t": 1.0},
    }
    before = site.make("advised", [step])
    if not await site.submit(before):
        return 2
    await wait_for(site, before, 15)
    if before.states[-1][1] != "completed":
        site.record.write("the first job isn't completed: the case doesn't apply")
        return 2
    if TROUBLE:
        for index in range(ADDED):
            worker = Worker(
                site.world, site.store, f"n-{index:04d}", zone="za", cpu=8000
            )
            worker.tickets = site.advice.tickets
            site.workers.append(worker)
            await worker.start()
            site.spawn(worker.beat())
            site.spawn(worker.work())
    await asyncio.sleep(6)
    jobs = [site.make("advised", [step]) for _ in range(3)]
    for job in jobs:
        if not await site.submit(job):
            return 2
    until = now() + 45
    for job in jobs:
        await wait_for(site, job, until - now())
    for job in jobs:
        await site.get(job)
        if job.states[-1][1] != "completed":
            site.world.breach(
                "LOST",
                f"{job.name} is {job.states[-1][1]} after {now() - job.accepted:.0f} s",
            )
    site.world.check_end()
    return 1 if site.world.broken else 0


async def wait_for(site, job, seconds):
    until = now() + seconds
    while now() < until:
        await asyncio.sleep(0.5)
        if await site.get(job) in ("completed", "failed"):
            return


run_case(run, HERE)

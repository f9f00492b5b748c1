"""Jobs ordered at a worker that has just been lost are left out of ``pending``."""

import asyncio
import sys
from pathlib import Path

from review.standins_2.site import PREFIX, Site, is_troubled, run_case

WORKERS = 8
JOBS = 60
JOB_PAUSE_SECONDS = 0.015
JOB = {"seconds": 0.5, "cpu": 1000}
STEP = {"count": 1, "cpu": 1000, "memMb": 256, "estRuntimeMs": 500}
# jobs of many tasks come before, so that the owner has connections to each worker
WIDE_JOBS = 3
WIDE_STEP = STEP | {"count": 64}
# visible_ms and the 2 s more of the rule
OLD_SECONDS = 5.0
ASK_SECONDS = 8.0
ASK_PAUSE_SECONDS = 0.1
# fewer jobs than this say little
UNBEGUN_MIN = 3


def list_begun(site: Site) -> dict[str, float]:
    """Return when each job first began, by what the workers noted."""
    begun: dict[str, float] = {}
    for at, event, fields in site.record.events:
        if event == "start" and fields["answer"] == 200:
            begun.setdefault(str(fields["task"]).partition(".")[0], at)
    return begun


async def check_pending(site: Site, instance: str) -> bool:
    """Ask one instance for the length of the queue; return whether it is too low."""
    sent = site.record.now
    status, content = await site.call(instance, "GET", PREFIX)
    received = site.record.now
    begun = list_begun(site)
    unbegun = [
        job.name
        for job in site.jobs
        if job.accepted_at is not None
        and job.accepted_at < sent - OLD_SECONDS
        and begun.get(job.name, float("inf")) > received
    ]
    site.record.write(
        "pending",
        at=instance,
        status=status,
        answer=content,
        unbegun=len(unbegun),
        jobs=unbegun,
    )
    is_low = status == 200 and content["pending"] < len(unbegun) / 2
    return is_low and len(unbegun) >= UNBEGUN_MIN


async def scenario(site: Site) -> bool:
    """Lose a worker while jobs come, and ask for the length of the queue."""
    for _ in range(WIDE_JOBS):
        await site.complete(await site.submit(JOB, [WIDE_STEP]), 20.0)
    if is_troubled():
        site.record.write("trouble", worker="w3", how="loses power for good")
        await site.workers["w3"].lose()
    submissions = []
    for _ in range(JOBS):
        submissions.append(asyncio.create_task(site.submit(JOB, [STEP])))
        await asyncio.sleep(JOB_PAUSE_SECONDS)
    await asyncio.gather(*submissions)
    held = True
    until = site.record.now + ASK_SECONDS
    while site.record.now < until:
        for instance in site.clients:
            if await check_pending(site, instance):
                held = False
        await asyncio.sleep(ASK_PAUSE_SECONDS)
    return held


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, scenario, workers=[{}] * WORKERS))

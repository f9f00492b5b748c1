"""Jobs wait for minutes behind one long task on a worker that has been faulty."""

import asyncio
import sys
from pathlib import Path

from review.standins_2.idle import IDLE_SECONDS_MAX, measure_idle
from review.standins_2.site import FINISH_SECONDS, Site, is_troubled, run_case

# one of 12 is faulty: srv_grey, share 0.083
WORKERS = 12
GREY_WORKER = "w0"
GREY_SECONDS = 6.4
# the only worker of the kind that the jobs need
KIND = "kind-b"
CPU = 1000
SHORT_JOB = {"seconds": 0.3, "cpu": CPU}
LONG_SECONDS = 200.0
LONG_JOB = {"seconds": LONG_SECONDS, "cpu": CPU}
SHORT_STEP = {
    "count": 1,
    "cpu": CPU,
    "memMb": 256,
    "estRuntimeMs": 300,
    "constraints": KIND,
}
LONG_STEP = SHORT_STEP | {"estRuntimeMs": int(1000 * LONG_SECONDS)}
EARLY_JOBS = 4
EARLY_PAUSE_SECONDS = 0.5
SETTLE_SECONDS = 5.0
WATCH_SECONDS = 60.0


async def trouble(site: Site) -> None:
    """Let one worker fail all that it starts, for some seconds."""
    site.record.write("trouble", worker=GREY_WORKER, seconds=GREY_SECONDS, how="grey")
    site.workers[GREY_WORKER].grey = True
    await asyncio.sleep(GREY_SECONDS)
    site.workers[GREY_WORKER].grey = False
    site.record.write("sound again", worker=GREY_WORKER)


async def scenario(site: Site) -> bool:
    """Hand in a long and a short job after a worker was faulty."""
    await site.complete(await site.submit(SHORT_JOB, [SHORT_STEP]), 20.0)
    duration = trouble(site) if is_troubled() else asyncio.sleep(GREY_SECONDS)
    troubled = asyncio.create_task(duration)
    for _ in range(EARLY_JOBS):
        await asyncio.sleep(EARLY_PAUSE_SECONDS)
        await site.submit(SHORT_JOB, [SHORT_STEP])
    await troubled
    long_job = await site.submit(LONG_JOB, [LONG_STEP])

    async def runs() -> bool:
        return site.find_runs(long_job) == 1

    await site.wait_until(runs, 20.0)
    await asyncio.sleep(SETTLE_SECONDS)
    job = await site.submit(SHORT_JOB, [SHORT_STEP])
    await asyncio.sleep(FINISH_SECONDS)

    def has_room() -> bool:
        return site.workers[GREY_WORKER].free_cpu >= 2 * CPU

    idle = await measure_idle(site, job, has_room, seconds=WATCH_SECONDS)
    return idle <= IDLE_SECONDS_MAX


if __name__ == "__main__":
    labels = {GREY_WORKER: (KIND,)}
    fields = [{"labels": labels.get(f"w{index}", ())} for index in range(WORKERS)]
    sys.exit(run_case(Path(__file__).parent, scenario, workers=fields))

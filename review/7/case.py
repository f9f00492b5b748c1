"""A gang on a queue with a hint never starts once its service has grown."""

import asyncio
import sys
from pathlib import Path

from review.standins_2.advice import Advice
from review.standins_2.idle import IDLE_SECONDS_MAX, measure_idle
from review.standins_2.site import (
    FINISH_SECONDS,
    Site,
    is_troubled,
    make_config,
    run_case,
)

WORKERS = 30
# scale_out, share 0.233
NEW_WORKERS = 7
# worker k runs a task that lasts and takes k + 1 cores
LASTING_CPU = 1000
# the workers that the queue's policy lets run the step; they never change
ALLOWED = frozenset({"w17", "w19", "w21", "w25", "w27", "w29"})
GANG = 6
GANG_CPU = 16_000
GANG_JOB = {"seconds": 2.0, "cpu": GANG_CPU, "gang": GANG, "hinted": 1}
GANG_STEP = {
    "count": GANG,
    "cpu": GANG_CPU,
    "memMb": 8000,
    "estRuntimeMs": 2000,
    "gang": True,
    "antiAffinity": 1,
}
CONFIG = make_config()
HINT_PREFIX = "/hinted/"
HINT = {"decisionMs": 50, "periodMs": 5, "validityMs": 3000}
CONFIG["routes"].append(
    CONFIG["routes"][0] | {"name": "r-hinted", "pathPrefix": HINT_PREFIX, "hint": HINT}
)
SETTLE_SECONDS = 8.0
WATCH_SECONDS = 30.0


async def fill_workers(site: Site) -> None:
    """Let each worker run a task that lasts, a larger one on each next worker."""
    for index in range(WORKERS):
        cpu = LASTING_CPU * (index + 1)
        step = {
            "count": 1,
            "cpu": cpu,
            "memMb": 1000,
            "longRunning": True,
            "constraints": f"n{index}",
        }
        await site.submit({"seconds": 0, "cpu": cpu}, [step])

    async def is_filled() -> bool:
        return sum(len(worker.runs) for worker in site.workers.values()) == WORKERS

    await site.wait_until(is_filled, 20.0)


async def scenario(site: Site) -> bool:
    """Add empty workers, wait until all is calm and hand a gang in."""
    await fill_workers(site)
    if is_troubled():
        site.record.write("trouble", new_workers=NEW_WORKERS, how="scale_out")
        for index in range(NEW_WORKERS):
            await site.add_worker(f"new{index}")
    await asyncio.sleep(SETTLE_SECONDS)
    job = await site.submit(GANG_JOB, [GANG_STEP], HINT_PREFIX)
    await asyncio.sleep(FINISH_SECONDS)

    def has_room() -> bool:
        return all(site.workers[name].free_cpu >= 2 * GANG_CPU for name in ALLOWED)

    idle = await measure_idle(
        site, job, has_room, seconds=WATCH_SECONDS, prefix=HINT_PREFIX
    )
    return idle <= IDLE_SECONDS_MAX


async def prepare(site: Site) -> None:
    """Start the service that says which workers may run a step."""
    site.advice = Advice(ALLOWED, site.record)
    await site.advice.start()


if __name__ == "__main__":
    sys.exit(
        run_case(
            Path(__file__).parent,
            scenario,
            workers=[{"labels": (f"n{index}",)} for index in range(WORKERS)],
            config=CONFIG,
            prepare=prepare,
        )
    )

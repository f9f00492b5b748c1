"""A task fails once by its own fault; its worker is the only one with room."""

import time

from review.common.deployment import run_case
from review.common.worker import Work

LASTING = "5c0e7a21d94b3a00"
JOB = "5c0e7a21d94b3a01"
OTHER = "5c0e7a21d94b3a02"
# most of the first worker, 57 of its 64 cores
LASTING_STEPS = [
    {
        "count": 3,
        "cpu": 19000,
        "memMb": 30000,
        "estRuntimeMs": 1000,
        "longRunning": True,
    }
]
STEPS = [{"count": 1, "cpu": 10000, "memMb": 12000, "estRuntimeMs": 700}]
FULL_CORES, EMPTY_CORES = 64000, 96000
MEMORY = 250000
# RULES.md, LOST: ``finish_s`` after the end of the traffic, a job has nothing running
# for 3 s while there is capacity for it twice over
FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
WATCH_SECONDS = 40.0


def last(task, attempt, worker):
    return Work(None)


def succeed(task, attempt, worker):
    return Work(0.7)


def fail_once(task, attempt, worker):
    return Work(0.7, how="failed" if attempt == 1 else "done")


async def scenario(site, trouble):
    await site.start()
    full = await site.add_worker("w-1", cpu=FULL_CORES, memory=MEMORY, rack="r1-1")
    await site.submit(LASTING, LASTING_STEPS, last)
    await site.wait_until(lambda: len(full.runs) == 3, 20, "the lasting tasks run")
    empty = await site.add_worker("w-2", cpu=EMPTY_CORES, memory=MEMORY, rack="r1-2")
    await site.pause(4.0)
    await site.submit(JOB, STEPS, fail_once if trouble else succeed)
    await site.wait_until(
        lambda: site.record.find("start", task=f"{JOB}.0.0.0"), 10, "the job starts"
    )
    # a second job of the same kind shows that its queue and the empty worker serve
    await site.submit(OTHER, STEPS, succeed)
    await site.holds_within(lambda: are_completed(site), FINISH_SECONDS)
    if await site.read_state(OTHER) != "completed":
        return "LOST: the other job isn't completed either"
    if await site.read_state(JOB) == "completed":
        return ""
    idle = await measure_idle(site, empty)
    state = await site.read_state(JOB)
    used = sum(worker.used_cpu for worker in site.workers.values())
    site.record(
        "idle",
        seconds=round(idle, 1),
        used_cpu=used,
        capacity_cpu=FULL_CORES + EMPTY_CORES,
        free_on_w2=empty.cpu - empty.used_cpu,
    )
    if idle >= IDLE_SECONDS:
        return (
            f"LOST: the job is {state}, had nothing running for {idle:.1f} s beside "
            f"{empty.cpu - empty.used_cpu} free millicores"
        )
    return ""


async def measure_idle(site, empty):
    """Return the seconds without a run of the job, watched for ``WATCH_SECONDS``."""
    began = time.monotonic()
    while time.monotonic() - began < WATCH_SECONDS:
        if site.running(JOB) or empty.cpu - empty.used_cpu < 2 * STEPS[0]["cpu"]:
            break
        await site.pause(0.02)
    return time.monotonic() - began


async def are_completed(site):
    await site.pause(0.5)
    return all([await site.read_state(job) == "completed" for job in (JOB, OTHER)])


run_case(__file__, scenario)

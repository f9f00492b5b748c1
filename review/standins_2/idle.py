"""Measures for how long an accepted job has nothing running although it could."""

import asyncio
from collections.abc import Callable

from .site import PREFIX, Job, Site

# from the rule LOST
IDLE_SECONDS_MAX = 3.0
TICK_SECONDS = 0.1
STATE_SECONDS = 2.0
FINAL_STATES = frozenset({"completed", "failed", "cancelled", "410"})


async def measure_idle(
    site: Site,
    job: Job,
    has_room: Callable[[], bool],
    *,
    seconds: float,
    prefix: str = PREFIX,
) -> float:
    """Return the longest time for which a job had nothing running.

    Only time counts in which there is room for the job twice over and less than half of
    the capacity is in use. The job is watched until it has ended.
    """
    longest, idle_since, asked_at = 0.0, None, float("-inf")
    until = site.record.now + seconds
    while site.record.now < until:
        await asyncio.sleep(TICK_SECONDS)
        now = site.record.now
        if now - asked_at >= STATE_SECONDS:
            asked_at = now
            if await site.read_state(job, prefix) in FINAL_STATES:
                break
        if site.find_runs(job) or not has_room() or not is_lightly_used(site):
            idle_since = None
            continue
        idle_since = now if idle_since is None else idle_since
        longest = max(longest, now - idle_since)
    site.record.write("idle", job=job.name, seconds=round(longest, 1))
    return longest


def is_lightly_used(site: Site) -> bool:
    """Return whether less than half of the sound workers' capacity is in use."""
    sound = [worker for worker in site.workers.values() if not worker.lost]
    used = sum(worker.cpu - worker.free_cpu for worker in sound)
    return used < sum(worker.cpu for worker in sound) / 2

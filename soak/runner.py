"""Plays one seed: a site, its callers, and a drawn series of faults."""

import asyncio
import random
from dataclasses import dataclass
from pathlib import Path

import msgspec

from .callers import Caller
from .faults import FAULTS, FaultContext
from .invariants import Violation, check_invariants, find_unfinished
from .observations import read_time
from .site import SoakSite, open_site

CALLERS = 4
SETTLE_SECONDS = 45.0
CHECK_SECONDS = 1.0
COMPLETION_INVARIANT = "an accepted job gets done"


@dataclass(frozen=True, kw_only=True)
class RunPlan:
    """What a seed is played with.

    Parameters
    ----------
    seconds : float
        How long faults come and jobs are handed in.
    """

    seed: int
    seconds: float
    instances: int = 3
    workers: int = 6


class Outcome(msgspec.Struct, frozen=True):
    """What a seed showed.

    Parameters
    ----------
    faults : tuple of str
        Those that struck, in order, with their times.
    ends : tuple of str
        Processes that ended by themselves.
    """

    seed: int
    faults: tuple[str, ...]
    jobs: int
    accepted: int
    starts: int
    violations: tuple[Violation, ...]
    ends: tuple[str, ...]

    @property
    def passed(self) -> bool:
        """Whether all promises were kept."""
        return not self.violations and not self.ends


async def run_plan(plan: RunPlan, folder: Path) -> Outcome:
    """Play one seed and return what it showed."""
    chance = random.Random(plan.seed)
    async with open_site(
        folder, instances=plan.instances, workers=plan.workers
    ) as site:
        began = read_time()
        until = began + plan.seconds
        watching = asyncio.create_task(site.restart_exited())
        callers = [
            Caller(site, random.Random(f"{plan.seed}/{index}"), index)
            for index in range(CALLERS)
        ]
        async with asyncio.TaskGroup() as group:
            for caller in callers:
                group.create_task(caller.run(until=until))
            striking = group.create_task(_inject_faults(site, chance, began, until))
        violations = await _wait_for_jobs(site, callers[0])
        watching.cancel()
        accounts = site.observations
        return Outcome(
            seed=plan.seed,
            faults=tuple(striking.result()),
            jobs=len(accounts.jobs),
            accepted=sum(job.accepted_at is not None for job in accounts.jobs.values()),
            starts=len(accounts.attempts),
            violations=tuple(violations),
            ends=tuple(site.unexpected_exits),
        )


async def _inject_faults(
    site: SoakSite, chance: random.Random, began: float, until: float
) -> list[str]:
    """Let faults come one after the other, in series, and beside each other."""
    struck: list[str] = []
    async with asyncio.TaskGroup() as group:
        while read_time() < until:
            name = chance.choice(list(FAULTS))
            for _ in range(chance.choice([1, 1, 1, 2, 3])):
                struck.append(f"{read_time() - began:.1f} s {name}")
                group.create_task(
                    _run_fault(site, chance, name, chance.uniform(0.3, 5.0), until)
                )
                await asyncio.sleep(chance.uniform(0.1, 1.5))
            await asyncio.sleep(chance.uniform(0.0, 3.0))
    return struck


async def _run_fault(
    site: SoakSite, chance: random.Random, name: str, seconds: float, until: float
) -> None:
    async with FAULTS.find(name)(FaultContext(site, chance)):
        await asyncio.sleep(max(0.0, min(seconds, until - read_time())))


async def _wait_for_jobs(site: SoakSite, caller: Caller) -> list[Violation]:
    """Wait until all accepted jobs are served, and return what was broken."""
    end = read_time() + SETTLE_SECONDS
    unfinished = find_unfinished(site.observations)
    while unfinished and read_time() < end:
        await asyncio.sleep(CHECK_SECONDS)
        for job in unfinished:
            await caller.query_state(job)
        unfinished = find_unfinished(site.observations)
    now = read_time()
    late = [
        Violation(COMPLETION_INVARIANT, job.job, now, "it wasn't") for job in unfinished
    ]
    return [*check_invariants(site.observations, now=now), *late]

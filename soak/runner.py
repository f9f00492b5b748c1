"""Runs one seed: starts a site, its callers and a random series of faults.

Once the faults are over, the system gets ``SETTLE_SECONDS`` to finish all accepted
jobs; then the invariants are checked.
"""

import asyncio
import random
from dataclasses import dataclass
from pathlib import Path

import msgspec

from .callers import Caller
from .faults import FAULTS, LONG_SECONDS, SECONDS, FaultContext
from .invariants import Violation, check_invariants, find_unfinished
from .observations import read_time
from .site import SoakSite, open_site

CALLERS = 4
SETTLE_SECONDS = 45.0
CHECK_INTERVAL_SECONDS = 1.0
OBSERVATIONS_FILE = "observations.json"
COMPLETION_INVARIANT = "an accepted job gets done"


@dataclass(frozen=True, kw_only=True)
class RunPlan:
    """Parameters of one run.

    Parameters
    ----------
    seconds : float
        Duration of the phase in which faults are injected and jobs submitted.
    excluded : tuple of str
        Faults that aren't drawn. A seed draws the same faults again only from the
        same list.
    """

    seed: int
    seconds: float
    instances: int = 3
    workers: int = 6
    excluded: tuple[str, ...] = ()


class Outcome(msgspec.Struct, frozen=True):
    """Result of one run.

    Parameters
    ----------
    faults : tuple of str
        Injected faults in order, each with its time since the start.
    ends : tuple of str
        Instance processes that exited without being stopped.
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
        """Whether all invariants held and no process exited unexpectedly."""
        return not self.violations and not self.ends


async def run_plan(plan: RunPlan, folder: Path) -> Outcome:
    """Run one seed on a site of its own.

    Its logs and what callers and workers observed are written to ``folder``.
    """
    rng = random.Random(plan.seed)
    async with open_site(
        folder, instances=plan.instances, workers=plan.workers
    ) as site:
        started_at = read_time()
        until = started_at + plan.seconds
        restarting = asyncio.create_task(site.restart_exited())
        callers = [
            Caller(site, random.Random(f"{plan.seed}/{index}"), index)
            for index in range(CALLERS)
        ]
        async with asyncio.TaskGroup() as group:
            for caller in callers:
                group.create_task(caller.run(until=until))
            names = [name for name in FAULTS if name not in plan.excluded]
            injecting = group.create_task(
                _inject_faults(site, rng, names, started_at, until)
            )
        site.restore_capacities()
        violations = await _wait_for_jobs(site, callers[0])
        restarting.cancel()
        observations = site.observations
        (folder / OBSERVATIONS_FILE).write_bytes(msgspec.json.encode(observations))
        return Outcome(
            seed=plan.seed,
            faults=tuple(injecting.result()),
            jobs=len(observations.jobs),
            accepted=sum(
                job.accepted_at is not None for job in observations.jobs.values()
            ),
            starts=len(observations.attempts),
            violations=tuple(violations),
            ends=tuple(site.unexpected_exits),
        )


async def _inject_faults(
    site: SoakSite,
    rng: random.Random,
    names: list[str],
    started_at: float,
    until: float,
) -> list[str]:
    """Inject random faults, repeated and overlapping; return their descriptions."""
    injected: list[str] = []
    async with asyncio.TaskGroup() as group:
        while read_time() < until:
            name = rng.choice(names)
            for _ in range(rng.choice([1, 1, 1, 2, 3])):
                injected.append(f"{read_time() - started_at:.1f} s {name}")
                seconds = rng.uniform(*LONG_SECONDS.get(name, SECONDS))
                group.create_task(_run_fault(site, rng, name, seconds, until))
                await asyncio.sleep(rng.uniform(0.1, 1.5))
            await asyncio.sleep(rng.uniform(0.0, 3.0))
    return injected


async def _run_fault(
    site: SoakSite, rng: random.Random, name: str, seconds: float, until: float
) -> None:
    async with FAULTS.find(name)(FaultContext(site, rng)):
        await asyncio.sleep(max(0.0, min(seconds, until - read_time())))


async def _wait_for_jobs(site: SoakSite, caller: Caller) -> list[Violation]:
    """Wait until all accepted jobs are done, and return the violations."""
    end = read_time() + SETTLE_SECONDS
    unfinished = find_unfinished(site.observations)
    while unfinished and read_time() < end:
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        for job in unfinished:
            await caller.query_state(job)
        unfinished = find_unfinished(site.observations)
    now = read_time()
    late = [
        Violation(COMPLETION_INVARIANT, job.job, now, "it wasn't") for job in unfinished
    ]
    return [*check_invariants(site.observations, now=now), *late]

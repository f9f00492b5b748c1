"""Plays seeds and prints a line for each, and a summary."""

import argparse
import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile
from pathlib import Path

import msgspec

from .runner import Outcome, RunPlan, run_plan

REGRESSIONS = Path(__file__).parent / "regressions.json"


class Regression(msgspec.Struct, frozen=True):
    """A seed that failed once.

    Parameters
    ----------
    cause : str
        What was wrong, and the commit that mended it.
    """

    seed: int
    seconds: float
    cause: str


def main() -> int:
    """Play the seeds that the arguments ask for; 1 if one failed."""
    options = _build_parser().parse_args()
    plans = _build_plans(options)
    folder = options.logs or Path(tempfile.mkdtemp(prefix="soak-"))
    outcomes = asyncio.run(_run_all(plans, folder, at_once=options.at_once))
    failed = [outcome for outcome in outcomes if not outcome.passed]
    jobs = sum(outcome.accepted for outcome in outcomes)
    starts = sum(outcome.starts for outcome in outcomes)
    print(
        f"{len(outcomes) - len(failed)} of {len(outcomes)} seeds kept all promises; "
        f"{jobs} jobs accepted, {starts} starts"
    )
    if failed:
        print(f"logs: {folder}")
    elif options.logs is None:
        shutil.rmtree(folder)
    return 1 if failed else 0


def _build_plans(options: argparse.Namespace) -> list[RunPlan]:
    if options.regressions:
        rows = msgspec.json.decode(REGRESSIONS.read_bytes(), type=list[Regression])
        return [RunPlan(seed=row.seed, seconds=row.seconds) for row in rows]
    seeds = options.seed or [random.randrange(1 << 31) for _ in range(options.seeds)]
    return [
        RunPlan(
            seed=seed,
            seconds=options.seconds,
            instances=options.instances,
            workers=options.workers,
        )
        for seed in seeds
    ]


async def _run_all(
    plans: list[RunPlan], folder: Path, *, at_once: int
) -> list[Outcome]:
    """Play all plans; a signal to stop ends the processes that were started."""
    playing = asyncio.current_task()
    assert playing is not None
    for stop in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(stop, playing.cancel)
    turns = asyncio.Semaphore(at_once)

    async def play_one(plan: RunPlan) -> Outcome:
        async with turns:
            place = folder / str(plan.seed)
            place.mkdir(parents=True)
            outcome = await run_plan(plan, place)
            (place / "outcome.json").write_bytes(msgspec.json.encode(outcome))
            _print_outcome(outcome)
            return outcome

    return list(await asyncio.gather(*(play_one(plan) for plan in plans)))


def _print_outcome(outcome: Outcome) -> None:
    verdict = "kept" if outcome.passed else "BROKEN"
    print(
        f"seed {outcome.seed}: {verdict}; {len(outcome.faults)} faults, "
        f"{outcome.accepted} of {outcome.jobs} jobs accepted, {outcome.starts} starts",
        flush=True,
    )
    for violation in outcome.violations:
        print(f"  {violation.promise}: {violation.subject}: {violation.detail}")
    for end in outcome.ends:
        print(f"  {end}")
    if not outcome.passed:
        print("  faults: " + "; ".join(outcome.faults))


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=5, help="how many fresh seeds")
    parser.add_argument("--seed", type=int, nargs="+", help="play these seeds")
    parser.add_argument(
        "--regressions", action="store_true", help="play the seeds that ever failed"
    )
    parser.add_argument("--seconds", type=float, default=20.0, help="length of a play")
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--workers", type=int, default=6)
    parser.add_argument(
        "--at-once", type=int, default=max(1, (os.cpu_count() or 1) // 4)
    )
    parser.add_argument("--logs", type=Path, help="keep settings and logs here")
    return parser


if __name__ == "__main__":
    sys.exit(main())

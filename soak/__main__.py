"""Runs the soak test for a number of seeds and prints the result of each."""

import argparse
import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

import msgspec

from .faults import FAULTS
from .runner import Outcome, RunPlan, run_plan

REGRESSIONS = Path(__file__).parent / "regressions.json"


class Regression(msgspec.Struct, frozen=True):
    """A seed that has failed in an earlier run.

    Parameters
    ----------
    cause : str
        What was wrong, and the commit that fixed it if it is known.
    only : tuple of str
        Faults to draw from; all but those in ``excluded`` if empty.
    """

    seed: int
    seconds: float
    cause: str
    excluded: tuple[str, ...] = ()
    only: tuple[str, ...] = ()
    instances: int = 3
    workers: int = 6


def main() -> int:
    """Run the requested seeds; return exit code 1 if any of them failed."""
    options = _build_parser().parse_args()
    plans = _build_plans(options)
    folder = options.logs or Path(tempfile.mkdtemp(prefix="soak-"))
    outcomes = asyncio.run(_run_all(plans, folder, at_once=options.at_once))
    failed = [outcome for outcome in outcomes if not outcome.passed]
    jobs = sum(outcome.accepted for outcome in outcomes)
    starts = sum(outcome.starts for outcome in outcomes)
    print(
        f"{len(outcomes) - len(failed)} of {len(outcomes)} seeds passed; "
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
        return [
            RunPlan(
                seed=row.seed,
                seconds=row.seconds,
                excluded=row.excluded + _list_others(row.only),
                instances=row.instances,
                workers=row.workers,
            )
            for row in rows
        ]
    seeds = options.seed or [random.randrange(1 << 31) for _ in range(options.seeds)]
    return [
        RunPlan(
            seed=seed,
            seconds=options.seconds,
            instances=options.instances,
            workers=options.workers,
            excluded=_list_others(options.only),
        )
        for seed in seeds
    ]


def _list_others(only: Sequence[str]) -> tuple[str, ...]:
    """Return the faults that aren't named, or none if no fault is named."""
    return tuple(name for name in FAULTS if only and name not in only)


async def _run_all(
    plans: list[RunPlan], folder: Path, *, at_once: int
) -> list[Outcome]:
    """Run all plans; SIGINT and SIGTERM cancel them, which ends their processes."""
    run_task = asyncio.current_task()
    assert run_task is not None
    for stop in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(stop, run_task.cancel)
    slots = asyncio.Semaphore(at_once)

    async def run_one(plan: RunPlan) -> Outcome:
        async with slots:
            run_folder = folder / str(plan.seed)
            run_folder.mkdir(parents=True)
            outcome = await run_plan(plan, run_folder)
            (run_folder / "outcome.json").write_bytes(msgspec.json.encode(outcome))
            _print_outcome(outcome)
            return outcome

    return list(await asyncio.gather(*(run_one(plan) for plan in plans)))


def _print_outcome(outcome: Outcome) -> None:
    result = "passed" if outcome.passed else "FAILED"
    print(
        f"seed {outcome.seed}: {result}; {len(outcome.faults)} faults, "
        f"{outcome.accepted} of {outcome.jobs} jobs accepted, {outcome.starts} starts",
        flush=True,
    )
    for violation in outcome.violations:
        print(f"  {violation.invariant}: {violation.subject}: {violation.detail}")
    for process_exit in outcome.ends:
        print(f"  {process_exit}")
    if not outcome.passed:
        print("  faults: " + "; ".join(outcome.faults))


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument(
        "--seeds", type=int, default=5, help="number of random seeds to run"
    )
    parser.add_argument("--seed", type=int, nargs="+", help="run exactly these seeds")
    parser.add_argument(
        "--regressions",
        action="store_true",
        help="run the seeds that failed in the past",
    )
    parser.add_argument(
        "--seconds",
        type=float,
        default=20.0,
        help="duration of the fault phase of each run",
    )
    parser.add_argument(
        "--only",
        nargs="+",
        default=(),
        choices=list(FAULTS),
        metavar="FAULT",
        help="faults to draw from",
    )
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--workers", type=int, default=6)
    parser.add_argument(
        "--at-once", type=int, default=max(1, (os.cpu_count() or 1) // 4)
    )
    parser.add_argument(
        "--logs", type=Path, help="directory in which settings and logs are kept"
    )
    return parser


if __name__ == "__main__":
    sys.exit(main())

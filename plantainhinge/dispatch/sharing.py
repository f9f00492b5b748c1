"""How fast work that fills may run beside serving tasks.

Answers the load where both share a worker: when the tail of a serving task comes
near its target, everything that fills beside it slows down at once; it speeds up
again in small steps while there is a margin.
"""

from dataclasses import dataclass

from .tables import Run, RunPhase, Worker

SLOW_DOWN_AT = 0.85
SPEED_UP_BELOW = 0.65
SLOW_DOWN_FACTOR = 0.5
SPEED_UP_PERCENT = 15
PACE_PERCENT_MIN = 5
PACE_PERCENT_MAX = 100


@dataclass(frozen=True, slots=True)
class PaceChange:
    """An attempt and the share of its speed it should work at, in percent."""

    run: Run
    percent: int


def find_pressure(worker: Worker) -> float:
    """Return the worst tail on a worker against its target; 0 without any."""
    return max(
        (
            run.gauge / run.task.step.spec.target_seconds
            for run in worker.runs.values()
            if run.task.step.spec.target_seconds and run.phase is RunPhase.RUNNING
        ),
        default=0.0,
    )


def adjust_paces(worker: Worker) -> list[PaceChange]:
    """Return how the attempts that fill on a worker should change their pace."""
    filling = [
        run
        for run in worker.runs.values()
        if run.task.step.spec.fills and run.phase is RunPhase.RUNNING
    ]
    if not filling:
        return []
    pressure = find_pressure(worker)
    changes = []
    for run in filling:
        percent = choose_pace(run.pace, pressure)
        if percent != run.pace:
            changes.append(PaceChange(run, percent))
    return changes


def choose_pace(pace: int, pressure: float) -> int:
    """Return the next pace of an attempt, in percent."""
    if pressure > SLOW_DOWN_AT:
        return max(PACE_PERCENT_MIN, int(pace * SLOW_DOWN_FACTOR))
    if pressure < SPEED_UP_BELOW:
        return min(PACE_PERCENT_MAX, pace + SPEED_UP_PERCENT)
    return pace

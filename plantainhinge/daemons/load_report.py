"""Reports the load of an owned cell as log events and as metrics."""

import logging
from collections import Counter as Totals
from dataclasses import dataclass, field

from ..core.ids import Epoch, Seconds
from ..core.log_events import write_event
from ..core.metrics import Counter, Level, Metrics
from ..dispatch.cell import Cell
from ..dispatch.idle_tasks import IdleTasks
from ..dispatch.load import CellLoad, measure_load
from ..dispatch.outages import LossCause
from ..dispatch.placement_rules import RULES
from .round_times import RoundTimes

logger = logging.getLogger(__name__)

INTERVAL_SECONDS = Seconds(2.0)


@dataclass
class LoadReports:
    """Writes each ``INTERVAL_SECONDS`` how the cell and its owner do.

    Parameters
    ----------
    round_times : RoundTimes
        Durations of the owner's rounds of decisions.
    """

    metrics: Metrics
    round_times: RoundTimes = field(init=False)
    _idle_tasks: IdleTasks = field(default_factory=IdleTasks)
    _losses_counted: Totals[LossCause] = field(default_factory=Totals)
    _next_at: float = 0.0

    def __post_init__(self) -> None:
        self.round_times = RoundTimes(self.metrics)

    def write_due(self, cell: Cell, *, now: float) -> None:
        """Write the log lines and set the gauges, if it is time."""
        if now < self._next_at:
            return
        self._next_at = now + INTERVAL_SECONDS
        report_load(self.metrics, cell.epoch, measure_load(cell, now=now))
        for event in self._idle_tasks.observe(cell, now=now):
            write_event(logger, event)
        longest = self._idle_tasks.measure_longest(now=now)
        self.metrics.set(Level.LONGEST_IDLE, longest)
        for rule in RULES:
            self.metrics.set(Level.KEPT_STEPS, self._idle_tasks.kept[rule], rule=rule)
        self._count_losses(cell)
        write_event(logger, self.round_times.take())

    def _count_losses(self, cell: Cell) -> None:
        """Add the losses since the last report to the counter."""
        for cause, lost in (cell.losses - self._losses_counted).items():
            self.metrics.count(Counter.LOST_ATTEMPTS, lost, cause=cause.value)
        self._losses_counted = Totals(cell.losses)


def report_load(metrics: Metrics, epoch: Epoch, load: CellLoad) -> None:
    """Write one log line and set the gauges of the cell."""
    write_event(logger, load)
    metrics.set(Level.EPOCH, epoch)
    metrics.set(Level.OPEN_JOBS, load.jobs)
    metrics.set(Level.RUNNING_ATTEMPTS, load.attempts)
    metrics.set(Level.WAITING_TASKS, load.waiting_ordinary, kind="ordinary")
    metrics.set(Level.WAITING_TASKS, load.waiting_filling, kind="filling")
    metrics.set(Level.WAITING_TASKS, load.waiting_lasting, kind="lasting")
    metrics.set(Level.CELL_CORES, load.capacity_cores, use="capacity")
    metrics.set(Level.CELL_CORES, load.committed_cores, use="committed")
    metrics.set(Level.CELL_CORES, load.filling_use, use="filling")
    metrics.set(Level.CELL_CORES, load.idle_usable_cores, use="idle-usable")
    metrics.set(Level.CELL_CORES, load.idle_disturbing_cores, use="idle-disturbing")
    metrics.set(Level.CELL_CORES, load.idle_closed_cores, use="idle-closed")
    metrics.set(Level.CELL_WORKERS, load.workers, state="known")
    metrics.set(Level.CELL_WORKERS, load.in_touch, state="in-touch")
    metrics.set(Level.CELL_WORKERS, load.aside, state="set-aside")

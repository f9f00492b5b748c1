"""Reports the load of an owned cell as a log event and as metrics."""

import logging

from ..core.ids import Epoch
from ..core.log_events import write_event
from ..core.metrics import Level, Metrics
from ..dispatch.cell import Cell
from ..dispatch.idle_tasks import IdleTasks
from ..dispatch.load import CellLoad

logger = logging.getLogger(__name__)


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


def report_idle_tasks(
    metrics: Metrics, idle_tasks: IdleTasks, cell: Cell, *, now: float
) -> None:
    """Write a log line for each step with idle long-running tasks; set the gauge."""
    for event in idle_tasks.observe(cell, now=now):
        write_event(logger, event)
    metrics.set(Level.LONGEST_IDLE, idle_tasks.measure_longest(now=now))

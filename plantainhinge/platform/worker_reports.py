"""Decodes the reports of the platform's workers, and the names of tasks in them."""

from typing import Annotated

import msgspec

from ..core.ids import AttemptNumber, JobId, Seconds
from ..fleet.model import EndCause, EndedAttempt, RunningAttempt, WorkerReport
from ..jobs.model import TaskKey
from .amounts import INTEGER_MAX, Amount

# a longer checkpoint isn't kept, as those of all tasks stand in the job's progress
CHECKPOINT_CHARACTERS_MAX = 1024
# of each of the two lists of a report
ROWS_MAX = 5000

Percent = Annotated[float, msgspec.Meta(ge=0, le=INTEGER_MAX)]


class _Running(msgspec.Struct, array_like=True):
    task: str
    attempt: Amount
    checkpoint: str
    percent: Percent
    # tail latency in ms of a serving task, millicores in use for others
    gauge: float = 0.0


class _Ended(msgspec.Struct, array_like=True):
    sequence: Amount
    task: str
    attempt: Amount
    cause: str
    checkpoint: str


class Report(msgspec.Struct, kw_only=True):
    """A worker's answer to a renewal, as it is on the wire."""

    clock_ms: float = msgspec.field(name="clockMs")
    running: Annotated[list[_Running], msgspec.Meta(max_length=ROWS_MAX)]
    ended: Annotated[list[_Ended], msgspec.Meta(max_length=ROWS_MAX)]
    # on the wire "born": a number that identifies the start of the worker process
    incarnation: Amount = msgspec.field(name="born", default=0)


def decode_report(report: Report) -> WorkerReport:
    """Convert a report; raises ValueError if a name or a cause is malformed."""
    return WorkerReport(
        clock=Seconds(report.clock_ms / 1000),
        incarnation=report.incarnation,
        running=tuple(_decode_running(row) for row in report.running),
        ended=tuple(_decode_ended(row) for row in report.ended),
    )


def _decode_running(row: _Running) -> RunningAttempt:
    return RunningAttempt(
        task=parse_task(row.task),
        attempt=AttemptNumber(row.attempt),
        checkpoint=_read_checkpoint(row.checkpoint),
        progress_percent=int(row.percent),
        gauge=row.gauge / 1000,
    )


def _decode_ended(row: _Ended) -> EndedAttempt:
    return EndedAttempt(
        sequence=row.sequence,
        task=parse_task(row.task),
        attempt=AttemptNumber(row.attempt),
        cause=EndCause(row.cause),
        checkpoint=_read_checkpoint(row.checkpoint),
    )


def _read_checkpoint(checkpoint: str) -> str:
    """Return a checkpoint; empty, which stands for none, if it is too long to keep."""
    return checkpoint if len(checkpoint) <= CHECKPOINT_CHARACTERS_MAX else ""


def format_task(key: TaskKey) -> str:
    """Return the name of a task on the wire."""
    return f"{key.job}.{key.occurrence}.{key.step}.{key.position}"


def parse_task(name: str) -> TaskKey:
    """Return the key of a task from its name on the wire."""
    job, occurrence, step, position = name.split(".")
    return TaskKey(JobId(job), int(occurrence), int(step), int(position))

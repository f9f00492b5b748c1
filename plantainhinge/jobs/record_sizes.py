"""Keeps the record of a job's progress within the log's limit.

A record that is too large is compressed, then loses the checkpoints, then all that is
known of single unfinished tasks. Only whether a task is done, and which number its
next attempt may have, must never be lost; both take a bounded number of bytes.
"""

import zlib
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import msgspec

from .model import JobSpec
from .records import (
    OccurrenceProgress,
    Progress,
    StepProgress,
    drop_checkpoints,
    encode_record,
)

COMPRESSION_LEVEL = 1
# a larger multiple of the limit isn't compressed, as it would hardly fit and take long
COMPRESSION_RATIO_MAX = 8
# of a step and of an occurrence in the record, without the bitmap of finished tasks
STEP_BYTES = 8
OCCURRENCE_BYTES = 16
# of all occurrences in a summary; the rest of a record is for the job's own fields
SUMMARY_BYTES_MAX = 160_000


class Detail(Enum):
    """How much of a job's progress a record holds."""

    WHOLE = "whole"
    NO_CHECKPOINTS = "no-checkpoints"
    SUMMARY = "summary"


@dataclass(frozen=True, slots=True)
class SizedRecord:
    """An encoded record of progress, and how much it holds."""

    value: bytes
    detail: Detail


def summarize(progress: Progress) -> Progress:
    """Return a job's progress without what is known of single unfinished tasks.

    Its tasks' failures, losses and checkpoints are lost. All attempt numbers start
    after the highest one, as a worker may still carry out an earlier order.
    """
    numbers = [
        task.last_attempt
        for occurrence in progress.occurrences.values()
        for step in occurrence.steps
        for task in step.tasks.values()
    ]
    return msgspec.structs.replace(
        progress,
        earlier_attempts=max([progress.earlier_attempts, *numbers]),
        occurrences={
            number: OccurrenceProgress(
                tuple(StepProgress(step.done) for step in occurrence.steps)
            )
            for number, occurrence in progress.occurrences.items()
        },
    )


_REDUCTIONS: tuple[tuple[Detail, Callable[[Progress], Progress]], ...] = (
    (Detail.WHOLE, lambda progress: progress),
    (Detail.NO_CHECKPOINTS, drop_checkpoints),
    (Detail.SUMMARY, summarize),
)


def compress(value: bytes, *, bytes_max: int) -> bytes:
    """Return the value of a record, compressed if it is too large otherwise."""
    if bytes_max < len(value) <= COMPRESSION_RATIO_MAX * bytes_max:
        return zlib.compress(value, COMPRESSION_LEVEL)
    return value


def fit_progress(progress: Progress, *, bytes_max: int) -> SizedRecord | None:
    """Return the value that stores a job's progress, in as much detail as fits.

    None if not even the summary fits, which no accepted job comes to with the limits
    of the platform's log.
    """
    for detail, reduce in _REDUCTIONS:
        value = compress(encode_record(reduce(progress)), bytes_max=bytes_max)
        if len(value) <= bytes_max:
            return SizedRecord(value, detail)
    return None


def count_occurrences_max(spec: JobSpec) -> int:
    """Return how many occurrences of a job, finished ones included, a record holds."""
    size = OCCURRENCE_BYTES + sum(STEP_BYTES + step.count // 8 for step in spec.steps)
    return max(1, SUMMARY_BYTES_MAX // size)

"""Checks of the guarantees against the records of workers and targets."""

from collections import Counter
from collections.abc import Iterable
from itertools import pairwise

from plantainhinge.core.states import AttemptOutcome

from .recorder import RecordedAttempt, RecordedRequest, RecorderReport


def list_attempts(
    reports: Iterable[RecorderReport], task: str = ""
) -> list[RecordedAttempt]:
    """Return the attempts of a task, or of all tasks, ordered by start."""
    attempts = [
        attempt
        for report in reports
        for attempt in report.attempts
        if task in ("", attempt.task)
    ]
    return sorted(attempts, key=lambda attempt: attempt.started_at)


def list_executions(
    reports: Iterable[RecorderReport], path: str
) -> list[RecordedRequest]:
    """Return the executions of requests for a path."""
    return [
        request
        for report in reports
        for request in report.requests
        if request.path == path
    ]


def find_overlaps(reports: Iterable[RecorderReport]) -> list[str]:
    """Return the tasks with two attempts that ran at the same time."""
    by_task: dict[str, list[RecordedAttempt]] = {}
    for attempt in list_attempts(reports):
        by_task.setdefault(attempt.task, []).append(attempt)
    return [
        task
        for task, attempts in by_task.items()
        if any(_overlap(first, second) for first, second in pairwise(attempts))
    ]


def find_finished_twice(reports: Iterable[RecorderReport]) -> list[str]:
    """Return the tasks with more than one finished attempt."""
    counts = Counter(
        attempt.task
        for attempt in list_attempts(reports)
        if attempt.outcome is AttemptOutcome.FINISHED
    )
    return [task for task, count in counts.items() if count > 1]


def find_late_starts(
    reports: Iterable[RecorderReport],
    workers: Iterable[str],
    *,
    after: float,
    until: float,
) -> list[RecordedAttempt]:
    """Return attempts that started on the workers between two times.

    The caller passes an interval in which nothing should have started.
    """
    names = set(workers)
    return [
        attempt
        for attempt in list_attempts(reports)
        if attempt.worker in names and after < attempt.started_at < until
    ]


def _overlap(first: RecordedAttempt, second: RecordedAttempt) -> bool:
    return first.ended_at is None or second.started_at < first.ended_at

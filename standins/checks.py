"""Verdicts on the promises, from what workers and targets saw themselves."""

from collections import Counter
from collections.abc import Iterable
from itertools import pairwise

from plantainhinge.core.states import AttemptOutcome

from .recorder import RecordedAttempt, RecordedRequest, RecorderReport


def list_attempts(
    reports: Iterable[RecorderReport], task: str = ""
) -> list[RecordedAttempt]:
    """Return the attempts of a task, or of all, oldest first."""
    attempts = [
        seen
        for report in reports
        for seen in report.attempts
        if task in ("", seen.task)
    ]
    return sorted(attempts, key=lambda seen: seen.started_at)


def list_executions(
    reports: Iterable[RecorderReport], path: str
) -> list[RecordedRequest]:
    """Return the requests for a path that targets ran."""
    return [s for report in reports for s in report.requests if s.path == path]


def find_overlaps(reports: Iterable[RecorderReport]) -> list[str]:
    """Return the tasks that ran in two places at once."""
    by_task: dict[str, list[RecordedAttempt]] = {}
    for seen in list_attempts(reports):
        by_task.setdefault(seen.task, []).append(seen)
    return [
        task
        for task, attempts in by_task.items()
        if any(_overlap(first, second) for first, second in pairwise(attempts))
    ]


def find_finished_twice(reports: Iterable[RecorderReport]) -> list[str]:
    """Return the tasks of which more than one attempt finished."""
    counts = Counter(
        seen.task
        for seen in list_attempts(reports)
        if seen.outcome is AttemptOutcome.FINISHED
    )
    return [task for task, count in counts.items() if count > 1]


def find_late_starts(
    reports: Iterable[RecorderReport],
    workers: Iterable[str],
    *,
    after: float,
    until: float,
) -> list[RecordedAttempt]:
    """Return what started on workers in an interval in which nothing should."""
    names = set(workers)
    return [
        seen
        for seen in list_attempts(reports)
        if seen.worker in names and after < seen.started_at < until
    ]


def _overlap(first: RecordedAttempt, second: RecordedAttempt) -> bool:
    return first.ended_at is None or second.started_at < first.ended_at

"""What must hold whatever fails, judged by what callers and workers saw."""

from collections import defaultdict
from collections.abc import Callable, Iterator

import msgspec

from plantainhinge.core.registry import Registry

from .observations import Observations, ObservedAttempt, ObservedJob, TaskName

# time after which every instance knows of an accepted job
VISIBLE_SECONDS = 3.0
# time after an acknowledged cancelling in which a start may still be on its way
CANCEL_SECONDS = 6.0
DONE = "done"
COMPLETED = "completed"


class Violation(msgspec.Struct, frozen=True):
    """A promise that was broken.

    Parameters
    ----------
    at : float
        Seconds on the clock of the accounts.
    """

    promise: str
    subject: str
    at: float
    detail: str


Check = Callable[[Observations, float], Iterator[Violation]]
INVARIANTS: Registry[Check] = Registry("promise")


def check_invariants(accounts: Observations, *, now: float) -> list[Violation]:
    """Return all that was broken so far, in the order of time."""
    found = [
        violation
        for name in INVARIANTS
        for violation in INVARIANTS.find(name)(accounts, now)
    ]
    return sorted(found, key=lambda violation: violation.at)


@INVARIANTS.register("one attempt of a task runs at a time")
def check_overlaps(accounts: Observations, now: float) -> Iterator[Violation]:
    """Return starts while another attempt of the task ran."""
    for task, attempts in _group_attempts(accounts).items():
        for earlier, later in _list_pairs(attempts):
            if later.started_at < (earlier.ended_at or now):
                yield _build_violation(
                    "one attempt of a task runs at a time",
                    task,
                    later,
                    f"attempt {earlier.number} ran on {earlier.worker}",
                )


@INVARIANTS.register("a task that is done isn't started again")
def check_repeats(accounts: Observations, now: float) -> Iterator[Violation]:
    """Return starts after an end that was taken note of."""
    for task, attempts in _group_attempts(accounts).items():
        for earlier, later in _list_pairs(attempts):
            if earlier.cause != DONE or earlier.acknowledged_at is None:
                continue
            if later.started_at > (earlier.ended_at or now):
                yield _build_violation(
                    "a task that is done isn't started again",
                    task,
                    later,
                    f"attempt {earlier.number} was done on {earlier.worker}",
                )


@INVARIANTS.register("steps run in order")
def check_order(accounts: Observations, now: float) -> Iterator[Violation]:
    """Return starts before all tasks of the step before were done."""
    done = _compute_done_times(accounts)
    for attempt in accounts.attempts:
        job = accounts.jobs.get(attempt.task.job)
        if job is None or attempt.task.step == 0:
            continue
        before = attempt.task.step - 1
        for position in range(job.steps[before]):
            needed = TaskName(job.job, attempt.task.occurrence, before, position)
            if done.get(needed, float("inf")) > attempt.started_at:
                yield _build_violation(
                    "steps run in order", attempt.task, attempt, f"{needed} wasn't done"
                )


@INVARIANTS.register("nothing runs that nobody asked for")
def check_requested(accounts: Observations, now: float) -> Iterator[Violation]:
    """Return starts of unknown, refused and cancelled jobs."""
    for attempt in accounts.attempts:
        job = accounts.jobs.get(attempt.task.job)
        cause = _find_start_violation(job, attempt)
        if cause:
            yield _build_violation(
                "nothing runs that nobody asked for", attempt.task, attempt, cause
            )


@INVARIANTS.register("an accepted job is never lost")
def check_lost(accounts: Observations, now: float) -> Iterator[Violation]:
    """Return accepted jobs that were denied, or said to have ended otherwise."""
    for job in accounts.jobs.values():
        if job.accepted_at is None:
            continue
        for at, state in job.states:
            denied = state == "gone" and at > job.accepted_at + VISIBLE_SECONDS
            uncalled = state == "cancelled" and job.cancel_sent_at is None
            if denied or uncalled or state == "failed":
                promise = "an accepted job is never lost"
                yield Violation(promise, job.job, at, f"said to be {state}")


@INVARIANTS.register("a completed job is complete")
def check_complete(accounts: Observations, now: float) -> Iterator[Violation]:
    """Return jobs shown as completed with a task that wasn't done."""
    done = _compute_done_times(accounts)
    for job in accounts.jobs.values():
        shown = min(
            (at for at, state in job.states if state == COMPLETED), default=None
        )
        if shown is None:
            continue
        for step, count in enumerate(job.steps):
            for position in range(count):
                task = TaskName(job.job, 0, step, position)
                if done.get(task, float("inf")) > shown:
                    promise = "a completed job is complete"
                    yield Violation(promise, job.job, shown, f"{task} wasn't done")


def find_unfinished(accounts: Observations) -> list[ObservedJob]:
    """Return accepted jobs that should have ended, or been running, by now."""
    running = {
        attempt.task for attempt in accounts.attempts if attempt.ended_at is None
    }
    return [
        job
        for job in accounts.jobs.values()
        if job.accepted_at is not None
        and job.cancel_sent_at is None
        and not _is_served(job, running)
    ]


def _is_served(job: ObservedJob, running: set[TaskName]) -> bool:
    if not job.long_running:
        return any(state == COMPLETED for _, state in job.states)
    return all(
        TaskName(job.job, 0, step, position) in running
        for step, count in enumerate(job.steps)
        for position in range(count)
    )


def _find_start_violation(job: ObservedJob | None, attempt: ObservedAttempt) -> str:
    if job is None:
        return "nobody handed the job in"
    if job.refused:
        return "each try to hand it in was refused"
    late = job.cancelled_at is not None and (
        attempt.started_at > job.cancelled_at + CANCEL_SECONDS
    )
    return "the job was cancelled long before" if late else ""


def _group_attempts(accounts: Observations) -> dict[TaskName, list[ObservedAttempt]]:
    groups: dict[TaskName, list[ObservedAttempt]] = defaultdict(list)
    for attempt in accounts.attempts:
        groups[attempt.task].append(attempt)
    return groups


def _list_pairs(
    attempts: list[ObservedAttempt],
) -> Iterator[tuple[ObservedAttempt, ObservedAttempt]]:
    for index, later in enumerate(attempts):
        for earlier in attempts[:index]:
            yield earlier, later


def _compute_done_times(accounts: Observations) -> dict[TaskName, float]:
    """Return when each task was first done."""
    done: dict[TaskName, float] = {}
    for attempt in accounts.attempts:
        if attempt.cause == DONE and attempt.ended_at is not None:
            done[attempt.task] = min(
                attempt.ended_at, done.get(attempt.task, float("inf"))
            )
    return done


def _build_violation(
    promise: str, task: TaskName, attempt: ObservedAttempt, why: str
) -> Violation:
    subject = f"{task.job}.{task.occurrence}.{task.step}.{task.position}"
    detail = f"attempt {attempt.number} started on {attempt.worker}; {why}"
    return Violation(promise, subject, attempt.started_at, detail)

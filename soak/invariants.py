"""Invariants that hold under any fault, checked against observations.

Each check takes the observations of a run and the current time, and yields a
``Violation`` for each breach.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator

import msgspec

from plantainhinge.core.registry import Registry

from .observations import Observations, ObservedAttempt, ObservedJob, TaskName

# time within which every instance learns of an accepted job
VISIBILITY_SECONDS_MAX = 3.0
# time for which a start may still be in flight after an acknowledged cancellation
CANCEL_SECONDS_MAX = 6.0
DONE = "done"
COMPLETED = "completed"
FAILED = "failed"
# starts of a task that crashes each worker: until three have crashed, and two more
DEADLY_STARTS_MAX = 5


class Violation(msgspec.Struct, frozen=True):
    """One breach of an invariant.

    Parameters
    ----------
    at : float
        Seconds on the clock of the observations.
    """

    invariant: str = msgspec.field(name="promise")
    subject: str
    at: float
    detail: str


Check = Callable[[Observations, float], Iterator[Violation]]
INVARIANTS: Registry[Check] = Registry("promise")


def check_invariants(observations: Observations, *, now: float) -> list[Violation]:
    """Run all checks and return the violations, ordered by time."""
    found = [
        violation
        for name in INVARIANTS
        for violation in INVARIANTS.find(name)(observations, now)
    ]
    return sorted(found, key=lambda violation: violation.at)


@INVARIANTS.register("one attempt of a task runs at a time")
def check_overlaps(observations: Observations, now: float) -> Iterator[Violation]:
    """Yield starts during another attempt of the same task."""
    for task, attempts in _group_attempts(observations).items():
        for earlier, later in _list_pairs(attempts):
            if later.started_at < (earlier.ended_at or now):
                yield _build_violation(
                    "one attempt of a task runs at a time",
                    task,
                    later,
                    f"attempt {earlier.number} ran on {earlier.worker}",
                )


@INVARIANTS.register("a task that is done isn't started again")
def check_repeats(observations: Observations, now: float) -> Iterator[Violation]:
    """Yield starts after the task was done and the owner acknowledged its end."""
    for task, attempts in _group_attempts(observations).items():
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
def check_order(observations: Observations, now: float) -> Iterator[Violation]:
    """Yield starts before all tasks of the preceding step were done."""
    done = _compute_done_times(observations)
    for attempt in observations.attempts:
        job = observations.jobs.get(attempt.task.job)
        if job is None or attempt.task.step == 0:
            continue
        previous = attempt.task.step - 1
        for position in range(job.steps[previous]):
            needed = TaskName(job.job, attempt.task.occurrence, previous, position)
            if done.get(needed, float("inf")) > attempt.started_at:
                yield _build_violation(
                    "steps run in order", attempt.task, attempt, f"{needed} wasn't done"
                )


@INVARIANTS.register("nothing runs that nobody asked for")
def check_requested(observations: Observations, now: float) -> Iterator[Violation]:
    """Yield starts of tasks whose job is unknown, was refused or was cancelled."""
    for attempt in observations.attempts:
        job = observations.jobs.get(attempt.task.job)
        reason = _find_start_violation(job, attempt)
        if reason:
            yield _build_violation(
                "nothing runs that nobody asked for", attempt.task, attempt, reason
            )


@INVARIANTS.register("an accepted job is never lost")
def check_lost(observations: Observations, now: float) -> Iterator[Violation]:
    """Yield accepted jobs reported as gone, failed or cancelled without a request."""
    for job in observations.jobs.values():
        if job.accepted_at is None:
            continue
        for at, state in job.states:
            reported_gone = (
                state == "gone" and at > job.accepted_at + VISIBILITY_SECONDS_MAX
            )
            cancelled_unasked = state == "cancelled" and job.cancel_sent_at is None
            failed = state == FAILED and not job.deadly
            if reported_gone or cancelled_unasked or failed:
                invariant = "an accepted job is never lost"
                yield Violation(invariant, job.job, at, f"said to be {state}")


@INVARIANTS.register("a completed job is complete")
def check_complete(observations: Observations, now: float) -> Iterator[Violation]:
    """Yield jobs reported as completed before all of their tasks were done."""
    done = _compute_done_times(observations)
    for job in observations.jobs.values():
        completed_at = min(
            (at for at, state in job.states if state == COMPLETED), default=None
        )
        if completed_at is None:
            continue
        for step, count in enumerate(job.steps):
            for position in range(count):
                task = TaskName(job.job, 0, step, position)
                if done.get(task, float("inf")) > completed_at:
                    invariant = "a completed job is complete"
                    yield Violation(
                        invariant, job.job, completed_at, f"{task} wasn't done"
                    )


@INVARIANTS.register("a task that crashes its workers is given up")
def check_given_up(observations: Observations, now: float) -> Iterator[Violation]:
    """Yield starts of tasks after too many workers have crashed under them."""
    for task, attempts in _group_attempts(observations).items():
        job = observations.jobs.get(task.job)
        if job is None or not job.deadly or task.step or task.position:
            continue
        for attempt in attempts[DEADLY_STARTS_MAX:]:
            yield _build_violation(
                "a task that crashes its workers is given up",
                task,
                attempt,
                f"it had crashed {DEADLY_STARTS_MAX} workers",
            )


@INVARIANTS.register("no start brings a worker over its capacity")
def check_capacity(observations: Observations, now: float) -> Iterator[Violation]:
    """Yield starts on workers that had no capacity for them."""
    for attempt in observations.attempts:
        if attempt.excess_millicores > 0:
            yield _build_violation(
                "no start brings a worker over its capacity",
                attempt.task,
                attempt,
                f"{attempt.excess_millicores} thousandths of a core too many",
            )


def find_unfinished(observations: Observations) -> list[ObservedJob]:
    """Return accepted, uncancelled jobs that are neither completed nor running.

    Only a long-running job counts as served while it runs; any other has to complete.
    """
    running = {
        attempt.task for attempt in observations.attempts if attempt.ended_at is None
    }
    return [
        job
        for job in observations.jobs.values()
        if job.accepted_at is not None
        and job.cancel_sent_at is None
        and not _is_served(job, running)
    ]


def _is_served(job: ObservedJob, running: set[TaskName]) -> bool:
    if not job.long_running:
        final = FAILED if job.deadly else COMPLETED
        return any(state == final for _, state in job.states)
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
        attempt.started_at > job.cancelled_at + CANCEL_SECONDS_MAX
    )
    return "the job was cancelled long before" if late else ""


def _group_attempts(
    observations: Observations,
) -> dict[TaskName, list[ObservedAttempt]]:
    groups: dict[TaskName, list[ObservedAttempt]] = defaultdict(list)
    for attempt in observations.attempts:
        groups[attempt.task].append(attempt)
    return groups


def _list_pairs(
    attempts: list[ObservedAttempt],
) -> Iterator[tuple[ObservedAttempt, ObservedAttempt]]:
    for index, later in enumerate(attempts):
        for earlier in attempts[:index]:
            yield earlier, later


def _compute_done_times(observations: Observations) -> dict[TaskName, float]:
    """Return the time at which each task was first done."""
    done: dict[TaskName, float] = {}
    for attempt in observations.attempts:
        if attempt.cause == DONE and attempt.ended_at is not None:
            done[attempt.task] = min(
                attempt.ended_at, done.get(attempt.task, float("inf"))
            )
    return done


def _build_violation(
    invariant: str, task: TaskName, attempt: ObservedAttempt, reason: str
) -> Violation:
    subject = f"{task.job}.{task.occurrence}.{task.step}.{task.position}"
    detail = f"attempt {attempt.number} started on {attempt.worker}; {reason}"
    return Violation(invariant, subject, attempt.started_at, detail)

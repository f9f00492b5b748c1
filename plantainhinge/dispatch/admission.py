"""Measures how short capacity is, for the admission control of the instances.

How long a new job waits is estimated as the work that is placed before it, divided by
the work that the cell finishes in a second. Both are counted in estimated run times, so
that a common error of the estimates cancels out.
"""

import math
from collections.abc import Iterable

from ..core.ids import Seconds, ServiceId, WorkspaceId
from ..jobs.admission import AdmissionDigest, QueueDelay, WorkspaceLimit
from ..jobs.model import JobRecord
from .model import OpenJob, OpenStep, Task
from .scheduling_state import SchedulingState
from .throughput import FinishedWork, SubmissionRate

MILLICORES_PER_CORE = 1000
# capacity counts as short once work has waited for so long
WAIT_SECONDS_MIN = 1.0
# in one digest, so that it stays small
LIMITS_MAX = 32
DELAY_DIGITS = 1
RATIO_DIGITS = 2


def note_submission(cell: SchedulingState, record: JobRecord) -> bool:
    """Count a workspace's job; return whether it is beyond its rate."""
    workspace = cell.workspaces.get(record.workspace)
    if workspace is None:
        return False
    rate = cell.load.rates.setdefault(record.workspace, SubmissionRate())
    return rate.note(record.accepted_at, rate=workspace.weight)


def note_finished(cell: SchedulingState, task: Task, *, now: float) -> None:
    """Count the work of a task that is done."""
    service = task.step.job.record.policy.service
    finished = cell.load.finished.setdefault(service, FinishedWork())
    finished.add(measure_work(task.step), now=now)


def measure_work(step: OpenStep, *, tasks: int = 1) -> float:
    """Return the core seconds of some of a step's tasks, by its estimate."""
    cores = step.spec.request.millicores / MILLICORES_PER_CORE
    return cores * step.spec.estimate * tasks


def measure_admission(
    cell: SchedulingState, waiting: Iterable[OpenStep], *, now: float, wall: Seconds
) -> AdmissionDigest:
    """Return the digest for the instances.

    Parameters
    ----------
    waiting : iterable of OpenStep
        The steps that are ready and have waiting tasks.
    """
    cell.load.sequence += 1
    finite = [step for step in waiting if not step.spec.long_running]
    return AdmissionDigest(
        cell.epoch,
        cell.load.sequence,
        tuple(_measure_delays(cell, finite, now=now)),
        tuple(_measure_limits(cell, finite, wall=wall)),
        memory_bytes=sum(
            job.occurrence_bytes * len(job.occurrences) for job in cell.jobs.values()
        ),
    )


def _measure_delays(
    cell: SchedulingState, waiting: list[OpenStep], *, now: float
) -> list[QueueDelay]:
    """Return the delays of the priorities of which work has waited for long."""
    delays = []
    for service, steps in _group_by_service(waiting).items():
        rate = cell.load.finished.get(service, FinishedWork()).measure_rate(now=now)
        work = 0.0
        for priority in sorted({_get_priority(step) for step in steps}):
            own = [step for step in steps if _get_priority(step) == priority]
            work += sum(measure_work(step, tasks=len(step.waiting)) for step in own)
            is_short = any(now - step.unplaced_since > WAIT_SECONDS_MIN for step in own)
            if is_short and rate > 0:
                seconds = round(work / rate, DELAY_DIGITS)
                delays.append(QueueDelay(service, priority, seconds))
    return delays


def _group_by_service(steps: list[OpenStep]) -> dict[ServiceId, list[OpenStep]]:
    groups: dict[ServiceId, list[OpenStep]] = {}
    for step in steps:
        groups.setdefault(step.job.record.policy.service, []).append(step)
    return groups


def _get_priority(step: OpenStep) -> int:
    return step.job.record.policy.priority


def _measure_limits(
    cell: SchedulingState, waiting: list[OpenStep], *, wall: Seconds
) -> list[WorkspaceLimit]:
    """Return the workspaces of which jobs beyond their rate wait for capacity."""
    surplus: dict[WorkspaceId, set[OpenJob]] = {}
    for step in waiting:
        if step.job.surplus and step.unplaced_since < math.inf:
            surplus.setdefault(step.job.record.workspace, set()).add(step.job)
    limits = []
    for name, jobs in surplus.items():
        workspace, rate = cell.workspaces.get(name), cell.load.rates.get(name)
        if workspace is None or rate is None:
            continue
        rate.admit_ratio = rate.choose_ratio(workspace.weight, wall=wall)
        if rate.admit_ratio >= 1.0:
            continue
        ratio = round(rate.admit_ratio, RATIO_DIGITS)
        retry_after = len(jobs) / max(1.0, workspace.weight)
        limits.append(WorkspaceLimit(name, ratio, round(retry_after, DELAY_DIGITS)))
    for name, rate in cell.load.rates.items():
        if name not in surplus:
            rate.admit_ratio = 1.0
    limits.sort(key=lambda limit: limit.admit_ratio)
    return limits[:LIMITS_MAX]

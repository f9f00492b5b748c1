"""Binds attempts to workers, and keeps the totals of what workers have committed."""

from ..core.resources import Resources
from ..jobs.model import Step
from .model import Attempt, Trial
from .suspicion import is_suspect


def bind_attempt(attempt: Attempt) -> None:
    """Add an attempt to its worker and its task."""
    step, worker = attempt.task.step, attempt.worker
    attempt.suspect = is_suspect(attempt.task)
    worker.suspects += attempt.suspect
    worker.attempts[(attempt.task.key, attempt.number)] = attempt
    attempt.task.attempts.append(attempt)
    step.attempts_per_worker[worker.name] = (
        step.attempts_per_worker.get(worker.name, 0) + 1
    )
    worker.committed += compute_committed_resources(step.spec)
    step.job.usage.add(step.job.record.workspace, step.spec.request)
    worker.mark_changed()
    if step.spec.best_effort:
        worker.best_effort_millicores += compute_best_effort_millicores(attempt)
    if step.spec.target_seconds:
        worker.serving_millicores += step.spec.request.millicores


def unbind_attempt(attempt: Attempt) -> None:
    """Remove an attempt from its worker and its task."""
    step, worker = attempt.task.step, attempt.worker
    if worker.attempts.pop((attempt.task.key, attempt.number), None) is None:
        return
    attempt.task.attempts.remove(attempt)
    worker.suspects -= attempt.suspect
    if worker.probe is attempt:
        worker.probe = None
    trial = attempt.task.trial
    if trial is not None and trial.attempt is attempt:
        close_trial(trial)
    step.attempts_per_worker[worker.name] -= 1
    worker.committed -= compute_committed_resources(step.spec)
    step.job.usage.subtract(step.job.record.workspace, step.spec.request)
    worker.mark_changed()
    if step.spec.best_effort:
        worker.best_effort_millicores -= compute_best_effort_millicores(attempt)
    if step.spec.target_seconds:
        worker.serving_millicores -= step.spec.request.millicores


def close_trial(trial: Trial) -> None:
    """End a trial: its worker takes other tasks again, unless others share it."""
    worker = trial.worker
    trial.task.trial = None
    if worker.trial is not trial:
        if worker.trial is not None and trial in worker.trial.companions:
            worker.trial.companions.remove(trial)
        return
    for companion in trial.companions:
        companion.task.trial = None
    worker.trial = None
    worker.revision += 1


def set_speed(attempt: Attempt, percent: int) -> None:
    """Set the speed of a best-effort attempt and its worker's total."""
    attempt.worker.best_effort_millicores -= compute_best_effort_millicores(attempt)
    attempt.speed_percent = percent
    attempt.worker.best_effort_millicores += compute_best_effort_millicores(attempt)
    attempt.worker.revision += 1


def compute_best_effort_millicores(attempt: Attempt) -> int:
    """Return the millicores that a best-effort attempt may use at its speed."""
    return attempt.task.step.spec.request.millicores * attempt.speed_percent // 100


def compute_committed_resources(step: Step) -> Resources:
    """Return the resources that an attempt commits on its worker.

    Best-effort attempts commit no processors, as they only use idle ones.
    """
    if step.best_effort:
        return Resources(0, step.request.memory_mib, step.request.accelerators)
    return step.request

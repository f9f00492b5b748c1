"""Telling jobs that fail everywhere from workers that fail everything.

A job that failed on several distinct workers is at fault itself, and so is a kind
whose jobs fail on several workers and succeed nowhere; their failures count
against no worker. A worker on which several distinct innocent jobs failed in a row
is quarantined, and probed with one attempt after a pause that doubles.
"""

from dataclasses import dataclass, field
from typing import Any

from ..core.ids import KindId, Seconds, TaskId, WorkerId

FAILURES_PER_WORKER = 32
MAX_KINDS = 4096
MAX_JOBS = 4096


@dataclass(frozen=True)
class HealthLimits:
    """How much evidence a verdict takes.

    Parameters
    ----------
    workers_per_job : int
        Distinct workers on which a job fails before it is final.
    jobs_per_worker : int
        Distinct jobs that fail on a worker before it is quarantined.
    first_pause_seconds, longest_pause_seconds : float
        Until a quarantined worker is probed.
    most_quarantined : float
        The largest share of a cell's workers in quarantine at once.
    memory_seconds : float
        After this time a failure counts no more.
    """

    workers_per_job: int = 3
    jobs_per_worker: int = 3
    initial_pause_seconds: float = 30.0
    max_pause_seconds: float = 1920.0
    max_quarantined_share: float = 0.34
    failure_retention_seconds: float = 3600.0


@dataclass(frozen=True)
class _Failure:
    kind: KindId
    at: Seconds


@dataclass
class _Quarantine:
    until: Seconds
    pause: float
    probing: bool = False


@dataclass
class HealthTable:
    """Failures since the last success, by worker and by kind."""

    limits: HealthLimits = HealthLimits()
    failures: dict[WorkerId, dict[TaskId, _Failure]] = field(default_factory=dict)
    kind_workers: dict[KindId, set[WorkerId]] = field(default_factory=dict)
    quarantined: dict[WorkerId, _Quarantine] = field(default_factory=dict)
    job_workers: dict[TaskId, set[WorkerId]] = field(default_factory=dict)

    def record_success(self, worker: WorkerId, kind: KindId, task: TaskId) -> None:
        """Clear the worker and the kind."""
        self.failures.pop(worker, None)
        self.quarantined.pop(worker, None)
        self.kind_workers.pop(kind, None)
        self.job_workers.pop(task, None)

    def record_failure(
        self, worker: WorkerId, kind: KindId, task: TaskId, workers: int, now: Seconds
    ) -> None:
        """Count a failure, and quarantine the worker if the evidence is enough.

        Parameters
        ----------
        workers : int
            How many workers the cell has.
        """
        self._record(worker, kind, task, now)
        known = self.quarantined.get(worker)
        if known is not None:
            if known.probing:
                self._extend_quarantine(known, now)
        elif self.compute_suspicion(worker, now) >= 1.0:
            self._quarantine(worker, workers, now)

    def forget_task(self, task: TaskId) -> None:
        """Forget a job that came to its end."""
        self.job_workers.pop(task, None)

    def compute_suspicion(self, worker: WorkerId, now: Seconds) -> float:
        """Return the evidence against a worker, from 0 to 1."""
        rows = self.failures.get(worker)
        if not rows:
            return 0.0
        counted = sum(
            self._counts_against_worker(worker, task, failure, now)
            for task, failure in rows.items()
        )
        return min(1.0, counted / self.limits.jobs_per_worker)

    def is_eligible(self, worker: WorkerId, now: Seconds) -> bool:
        """Return whether the worker may be given an attempt, or one as a probe."""
        known = self.quarantined.get(worker)
        return known is None or (now >= known.until and not known.probing)

    def list_quarantined(self, now: Seconds) -> frozenset[WorkerId]:
        """Return the workers in quarantine that are not ready for a probe."""
        return frozenset(w for w in self.quarantined if not self.is_eligible(w, now))

    def record_placement(self, worker: WorkerId, now: Seconds) -> None:
        """Note that a worker was given an attempt; in quarantine it is the probe."""
        known = self.quarantined.get(worker)
        if known is not None and now >= known.until:
            known.probing = True

    def record_inconclusive(self, worker: WorkerId) -> None:
        """Note that an attempt ended in a way that tells nothing of the worker."""
        known = self.quarantined.get(worker)
        if known is not None:
            known.probing = False

    def forget_worker(self, worker: WorkerId) -> None:
        """Forget a worker that left the cell."""
        self.failures.pop(worker, None)
        self.quarantined.pop(worker, None)

    def _record(
        self, worker: WorkerId, kind: KindId, task: TaskId, now: Seconds
    ) -> None:
        row = self.failures.setdefault(worker, {})
        row[task] = _Failure(kind, now)
        _drop_oldest(row, FAILURES_PER_WORKER)
        self.kind_workers.setdefault(kind, set()).add(worker)
        _drop_oldest(self.kind_workers, MAX_KINDS)
        self.job_workers.setdefault(task, set()).add(worker)
        _drop_oldest(self.job_workers, MAX_JOBS)

    def _counts_against_worker(
        self, worker: WorkerId, task: TaskId, failure: _Failure, now: Seconds
    ) -> bool:
        if now - failure.at > self.limits.failure_retention_seconds:
            return False
        if len(self.job_workers.get(task, ())) >= self.limits.workers_per_job:
            return False
        at_fault = self.kind_workers.get(failure.kind, set())
        return len(at_fault) < self.limits.workers_per_job

    def _quarantine(self, worker: WorkerId, workers: int, now: Seconds) -> None:
        if len(self.quarantined) + 1 > workers * self.limits.max_quarantined_share:
            return
        pause = self.limits.initial_pause_seconds
        self.quarantined[worker] = _Quarantine(Seconds(now + pause), pause)

    def _extend_quarantine(self, row: _Quarantine, now: Seconds) -> None:
        row.pause = min(row.pause * 2, self.limits.max_pause_seconds)
        row.until = Seconds(now + row.pause)
        row.probing = False


def explain_poison(failed_on: frozenset[WorkerId], limits: HealthLimits) -> str:
    """Return why a job is final after failing on these workers; empty if it is not."""
    if len(failed_on) < limits.workers_per_job:
        return ""
    return f"failed on {len(failed_on)} workers: {', '.join(sorted(failed_on))}"


def _drop_oldest(table: dict[Any, Any], most: int) -> None:
    while len(table) > most:
        del table[next(iter(table))]

"""Distinction between faulty jobs and faulty workers.

A job that failed on several distinct workers is considered faulty, and so is a kind
whose jobs fail on several workers and succeed on none. Their failures don't count
against any worker. A worker on which several distinct other jobs failed without a
success in between is quarantined. After a pause it gets one attempt as a probe, and
each failed probe doubles the pause.
"""

from dataclasses import dataclass, field
from typing import Any

from ..core.ids import KindId, Seconds, TaskId, WorkerId

MAX_FAILURES_PER_WORKER = 32
MAX_KINDS = 4096
MAX_JOBS = 4096


@dataclass(frozen=True)
class HealthLimits:
    """Thresholds for faulty jobs and for quarantine.

    Parameters
    ----------
    workers_per_job : int
        Distinct workers on which a job or kind fails until it is considered faulty.
    jobs_per_worker : int
        Distinct jobs that fail on a worker until it is quarantined.
    initial_pause_seconds, max_pause_seconds : float
        Time until a quarantined worker is probed, at first and at most.
    max_quarantined_share : float
        Largest fraction of a cell's workers in quarantine at once.
    failure_retention_seconds : float
        Age from which a failure no longer counts.
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
    """Quarantined workers, and failures since the last success by worker, kind and job.

    The numbers of failures, kinds and jobs are bounded; the oldest are dropped.
    """

    limits: HealthLimits = HealthLimits()
    failures: dict[WorkerId, dict[TaskId, _Failure]] = field(default_factory=dict)
    kind_workers: dict[KindId, set[WorkerId]] = field(default_factory=dict)
    quarantined: dict[WorkerId, _Quarantine] = field(default_factory=dict)
    job_workers: dict[TaskId, set[WorkerId]] = field(default_factory=dict)

    def record_success(self, worker: WorkerId, kind: KindId, task: TaskId) -> None:
        """Clear the failures of the worker, kind and job, and end a quarantine."""
        self.failures.pop(worker, None)
        self.quarantined.pop(worker, None)
        self.kind_workers.pop(kind, None)
        self.job_workers.pop(task, None)

    def record_failure(
        self, worker: WorkerId, kind: KindId, task: TaskId, workers: int, now: Seconds
    ) -> None:
        """Record a failure, and quarantine the worker if it is suspect enough.

        Parameters
        ----------
        workers : int
            Number of workers in the cell.
        """
        self._record(worker, kind, task, now)
        quarantine = self.quarantined.get(worker)
        if quarantine is not None:
            if quarantine.probing:
                self._extend_quarantine(quarantine, now)
        elif self.compute_suspicion(worker, now) >= 1.0:
            self._quarantine(worker, workers, now)

    def remove_task(self, task: TaskId) -> None:
        """Remove a job that reached a final state."""
        self.job_workers.pop(task, None)

    def compute_suspicion(self, worker: WorkerId, now: Seconds) -> float:
        """Return the suspicion that a worker is faulty, from 0 to 1.

        It is 1 when enough distinct jobs have failed on it to quarantine it.
        """
        rows = self.failures.get(worker)
        if not rows:
            return 0.0
        counted = sum(
            self._counts_against_worker(worker, task, failure, now)
            for task, failure in rows.items()
        )
        return min(1.0, counted / self.limits.jobs_per_worker)

    def is_eligible(self, worker: WorkerId, now: Seconds) -> bool:
        """Return whether the worker may get an attempt, a probe included."""
        quarantine = self.quarantined.get(worker)
        return quarantine is None or (
            now >= quarantine.until and not quarantine.probing
        )

    def list_quarantined(self, now: Seconds) -> frozenset[WorkerId]:
        """Return the quarantined workers that must not be probed now."""
        return frozenset(w for w in self.quarantined if not self.is_eligible(w, now))

    def record_placement(self, worker: WorkerId, now: Seconds) -> None:
        """Record that a worker got an attempt; in quarantine it is the probe."""
        quarantine = self.quarantined.get(worker)
        if quarantine is not None and now >= quarantine.until:
            quarantine.probing = True

    def record_inconclusive(self, worker: WorkerId) -> None:
        """Record an end that says nothing about the worker; it may be probed again."""
        quarantine = self.quarantined.get(worker)
        if quarantine is not None:
            quarantine.probing = False

    def remove_worker(self, worker: WorkerId) -> None:
        """Remove a worker that left the cell."""
        self.failures.pop(worker, None)
        self.quarantined.pop(worker, None)

    def _record(
        self, worker: WorkerId, kind: KindId, task: TaskId, now: Seconds
    ) -> None:
        row = self.failures.setdefault(worker, {})
        row[task] = _Failure(kind, now)
        _drop_oldest(row, MAX_FAILURES_PER_WORKER)
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
        failed_on = self.kind_workers.get(failure.kind, set())
        return len(failed_on) < self.limits.workers_per_job

    def _quarantine(self, worker: WorkerId, workers: int, now: Seconds) -> None:
        if len(self.quarantined) + 1 > workers * self.limits.max_quarantined_share:
            return
        pause = self.limits.initial_pause_seconds
        self.quarantined[worker] = _Quarantine(Seconds(now + pause), pause)

    def _extend_quarantine(self, row: _Quarantine, now: Seconds) -> None:
        row.pause = min(row.pause * 2, self.limits.max_pause_seconds)
        row.until = Seconds(now + row.pause)
        row.probing = False


def explain_faulty_job(failed_on: frozenset[WorkerId], limits: HealthLimits) -> str:
    """Return why a job is faulty after failing on these workers, or an empty string."""
    if len(failed_on) < limits.workers_per_job:
        return ""
    return f"failed on {len(failed_on)} workers: {', '.join(sorted(failed_on))}"


def _drop_oldest(table: dict[Any, Any], max_size: int) -> None:
    while len(table) > max_size:
        del table[next(iter(table))]

"""The metrics of the daemons, and the interface that records them.

Attributes must have few distinct values, such as kinds and reasons; ids of requests
and tasks belong in events and logs.
"""

from enum import Enum
from typing import Protocol


class Counter(Enum):
    """Monotonically increasing totals."""

    REFUSALS = "plantainhinge.requests.refused"
    REJECTIONS = "plantainhinge.requests.rejected"
    RETRIES = "plantainhinge.requests.retried"
    UNKNOWN_OUTCOMES = "plantainhinge.requests.unknown"
    STARTS = "plantainhinge.attempts.started"
    EVICTIONS = "plantainhinge.attempts.evicted"
    LOST_ATTEMPTS = "plantainhinge.attempts.lost"
    JOB_CALLS = "plantainhinge.jobs.calls"
    JOBS_REFUSED = "plantainhinge.jobs.refused"
    LOG_CALLS = "plantainhinge.log.calls"
    WORKER_CALLS = "plantainhinge.workers.calls"
    OWNERSHIPS = "plantainhinge.cell.ownerships"


class Distribution(Enum):
    """Histograms of durations in seconds, for which tail latency matters."""

    REQUEST = "plantainhinge.requests.duration"
    JOB_CALL = "plantainhinge.jobs.call.duration"
    LOG_CALL = "plantainhinge.log.call.duration"
    FIRST_START = "plantainhinge.jobs.first_start"
    DECISION = "plantainhinge.cell.decision.duration"


class Level(Enum):
    """Gauges, of which only the latest value is kept."""

    LEASES = "plantainhinge.leases.held"
    IN_FLIGHT = "plantainhinge.requests.in_flight"
    CONFIGURATION_AGE = "plantainhinge.configuration.age"
    CONFIGURATION_REVISION = "plantainhinge.configuration.revision"
    LOG_AGE = "plantainhinge.log.age"
    DIGEST_AGE = "plantainhinge.admission.digest.age"
    EPOCH = "plantainhinge.cell.epoch"
    CONFIRMATION_AGE = "plantainhinge.cell.confirmation.age"
    OPEN_JOBS = "plantainhinge.cell.jobs"
    WAITING_TASKS = "plantainhinge.cell.waiting"
    RUNNING_ATTEMPTS = "plantainhinge.cell.attempts"
    CELL_CORES = "plantainhinge.cell.cores"
    CELL_WORKERS = "plantainhinge.cell.workers"
    LONGEST_IDLE = "plantainhinge.cell.longest_idle"
    KEPT_STEPS = "plantainhinge.cell.kept_steps"


class Metrics(Protocol):
    """Recorder of metrics; thread-safe and never blocking."""

    def count(self, counter: Counter, amount: int = 1, **attributes: str) -> None:
        """Increment a counter."""

    def observe(
        self, distribution: Distribution, seconds: float, **attributes: str
    ) -> None:
        """Record one duration."""

    def set(self, level: Level, value: float, **attributes: str) -> None:
        """Set the current value of a gauge."""


class NullMetrics:
    """Recorder that discards all metrics."""

    def count(self, counter: Counter, amount: int = 1, **attributes: str) -> None:
        """Do nothing."""

    def observe(
        self, distribution: Distribution, seconds: float, **attributes: str
    ) -> None:
        """Do nothing."""

    def set(self, level: Level, value: float, **attributes: str) -> None:
        """Do nothing."""

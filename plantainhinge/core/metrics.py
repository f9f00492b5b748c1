"""What the daemons measure, and the interface that takes the measurements.

Attributes tell apart few things, such as kinds and reasons; ids of requests and
tasks belong into events and logs.
"""

from enum import Enum
from typing import Protocol


class Counter(Enum):
    """Totals that only rise."""

    REFUSALS = "plantainhinge.requests.refused"
    RETRIES = "plantainhinge.requests.retried"
    UNKNOWN_OUTCOMES = "plantainhinge.requests.unknown"
    STARTS = "plantainhinge.attempts.started"
    EVICTIONS = "plantainhinge.attempts.evicted"
    LOST_ATTEMPTS = "plantainhinge.attempts.lost"
    JOB_CALLS = "plantainhinge.jobs.calls"
    LOG_CALLS = "plantainhinge.log.calls"
    WORKER_CALLS = "plantainhinge.workers.calls"
    OWNERSHIPS = "plantainhinge.cell.ownerships"


class Distribution(Enum):
    """Durations in seconds, of which the tail is of interest."""

    REQUEST = "plantainhinge.requests.duration"
    JOB_CALL = "plantainhinge.jobs.call.duration"
    LOG_CALL = "plantainhinge.log.call.duration"
    FIRST_START = "plantainhinge.jobs.first_start"


class Level(Enum):
    """Values that rise and fall; the newest one counts."""

    LEASES = "plantainhinge.leases.held"
    IN_FLIGHT = "plantainhinge.requests.in_flight"
    CONFIGURATION_AGE = "plantainhinge.configuration.age"
    CONFIGURATION_REVISION = "plantainhinge.configuration.revision"
    LOG_AGE = "plantainhinge.log.age"
    EPOCH = "plantainhinge.cell.epoch"
    OPEN_JOBS = "plantainhinge.cell.jobs"
    WAITING_TASKS = "plantainhinge.cell.waiting"
    RUNNING_ATTEMPTS = "plantainhinge.cell.attempts"
    CELL_CORES = "plantainhinge.cell.cores"
    CELL_WORKERS = "plantainhinge.cell.workers"


class Metrics(Protocol):
    """Takes measurements from any thread and never blocks."""

    def count(self, counter: Counter, amount: int = 1, **attributes: str) -> None:
        """Add to a total."""

    def observe(
        self, distribution: Distribution, seconds: float, **attributes: str
    ) -> None:
        """Add one duration."""

    def set(self, level: Level, value: float, **attributes: str) -> None:
        """Replace the newest value."""


class NullMetrics:
    """Drops every measurement."""

    def count(self, counter: Counter, amount: int = 1, **attributes: str) -> None:
        """Do nothing."""

    def observe(
        self, distribution: Distribution, seconds: float, **attributes: str
    ) -> None:
        """Do nothing."""

    def set(self, level: Level, value: float, **attributes: str) -> None:
        """Do nothing."""

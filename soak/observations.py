"""What callers and workers observed during a run.

The invariants are checked against these observations alone, never against the
state of the system under test.
"""

import time
from dataclasses import dataclass, field
from enum import Enum

import msgspec

MS_PER_SECOND = 1000


class SubmitResult(Enum):
    """Result of one try to submit a job, as its caller knows it."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    GONE = "gone"


@dataclass
class ObservedJob:
    """What a caller knows about one of its jobs.

    Parameters
    ----------
    steps : list of int
        Number of tasks in each step; each step depends on the one before it.
    seconds : float
        Duration of each task; 0 if it runs until the job is cancelled.
    long_running : bool
        Whether the tasks run until the job is cancelled.
    submit_results : list of SubmitResult
        Results of all tries to submit the job, in order.
    cancel_sent_at, cancelled_at : float, optional
        When its cancellation was first sent, and when it was acknowledged.
    states : list of tuple of float and str
        Each reported state with the time of the response.
    deadly : bool
        Whether its first task crashes each worker that starts it.
    """

    job: str
    steps: list[int]
    seconds: float = 0.0
    long_running: bool = False
    submit_results: list[SubmitResult] = field(default_factory=list)
    accepted_at: float | None = None
    cancel_sent_at: float | None = None
    cancelled_at: float | None = None
    states: list[tuple[float, str]] = field(default_factory=list)
    deadly: bool = False

    @property
    def refused(self) -> bool:
        """Whether every try to submit the job was refused."""
        return bool(self.submit_results) and set(self.submit_results) == {
            SubmitResult.REFUSED
        }


class TaskName(msgspec.Struct, frozen=True, order=True):
    """The parts of a task name as it is sent to workers."""

    job: str
    occurrence: int
    step: int
    position: int


@dataclass
class ObservedAttempt:
    """One attempt as its worker observed it.

    Parameters
    ----------
    worker_start : int
        Number of the worker start in which the attempt ran, counted from 1.
    acknowledged_at : float, optional
        When the owner acknowledged the end of the attempt.
    excess_millicores : int
        By how much its start brought the worker over its capacity.
    """

    task: TaskName
    number: int
    worker: str
    worker_start: int
    started_at: float
    ended_at: float | None = None
    cause: str = ""
    acknowledged_at: float | None = None
    excess_millicores: int = 0


@dataclass
class Observations:
    """Everything observed from outside the system."""

    jobs: dict[str, ObservedJob] = field(default_factory=dict)
    attempts: list[ObservedAttempt] = field(default_factory=list)


def parse_task(name: str) -> TaskName:
    """Parse a task name of the form ``job.occurrence.step.position``."""
    job, occurrence, step, position = name.split(".")
    return TaskName(job, int(occurrence), int(step), int(position))


def read_time() -> float:
    """Return the time of observations, in seconds on the monotonic clock."""
    return time.monotonic()

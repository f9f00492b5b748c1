"""What callers and workers saw, as typed events."""

import time
from dataclasses import dataclass, field
from enum import Enum

import msgspec

MILLISECONDS = 1000


class CallResult(Enum):
    """What a caller learned from one call."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    GONE = "gone"


@dataclass
class ObservedJob:
    """What its caller knows of a job.

    Parameters
    ----------
    steps : list of int
        Tasks of each step; each step depends on the one before it.
    lasting : bool
        Whether its tasks run until it is cancelled.
    answers : list of Answer
        To each try to hand it in.
    cancel_sent, cancelled_at : float, optional
        When its cancelling was first sent, and acknowledged.
    states : list of tuple of float and str
        Each state that was told, and when.
    """

    job: str
    steps: list[int]
    long_running: bool = False
    answers: list[CallResult] = field(default_factory=list)
    accepted_at: float | None = None
    cancel_sent_at: float | None = None
    cancelled_at: float | None = None
    states: list[tuple[float, str]] = field(default_factory=list)

    @property
    def refused(self) -> bool:
        """Whether each try to hand it in was refused."""
        return bool(self.answers) and set(self.answers) == {CallResult.REFUSED}


class TaskName(msgspec.Struct, frozen=True, order=True):
    """A task as workers name it."""

    job: str
    occurrence: int
    step: int
    position: int


@dataclass
class ObservedAttempt:
    """One attempt as its worker saw it.

    Parameters
    ----------
    life : int
        Which start of the worker ran it.
    noted_at : float, optional
        When the worker was told to forget the end.
    """

    task: TaskName
    number: int
    worker: str
    worker_start: int
    started_at: float
    ended_at: float | None = None
    cause: str = ""
    acknowledged_at: float | None = None


@dataclass
class Observations:
    """All that was seen from outside the system."""

    jobs: dict[str, ObservedJob] = field(default_factory=dict)
    attempts: list[ObservedAttempt] = field(default_factory=list)


def parse_task(name: str) -> TaskName:
    """Return the task with a name on the wire."""
    job, occurrence, step, position = name.split(".")
    return TaskName(job, int(occurrence), int(step), int(position))


def read_time() -> float:
    """Return the time of accounts in seconds."""
    return time.monotonic()

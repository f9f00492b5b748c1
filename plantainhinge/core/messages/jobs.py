"""Messages about jobs, as callers and operators see them."""

import msgspec

from ..ids import DomainId, KindId, TaskId, TeamId
from ..states import TaskState
from .base import Message


class SubmitJob(Message, frozen=True):
    """Asks a ledger's owner to accept a batch job."""

    task: TaskId
    kind: KindId
    team: TeamId
    run_seconds: float


class CancelJob(Message, frozen=True):
    """Asks a ledger's owner to cancel a task."""

    task: TaskId
    team: TeamId


class QueryJob(Message, frozen=True):
    """Asks a ledger's owner for a task's account."""

    task: TaskId
    team: TeamId


class JobStatus(Message, frozen=True):
    """A job's account for callers and operators.

    Parameters
    ----------
    waits_for : str
        Which limit holds the job back; empty when none does.
    poll_after_seconds : float
        Seconds after which another look is worthwhile.
    """

    task: TaskId
    team: TeamId
    kind: KindId
    state: TaskState
    attempts: int
    cell: DomainId | None = None
    reason: str = ""
    waits_for: str = ""
    poll_after_seconds: float = msgspec.field(name="look_again", default=0.0)


class ListJobs(Message, frozen=True):
    """Asks a ledger's owner for the newest batch jobs of a team."""

    team: TeamId
    limit: int


class JobList(Message, frozen=True):
    """Batch jobs of a team, the newest first.

    Parameters
    ----------
    total : int
        How many the ledger has, listed or not.
    """

    jobs: list[JobStatus]
    total: int

"""Messages that submit, cancel and query batch jobs."""

import msgspec

from ..ids import DomainId, KindId, TaskId, TeamId
from ..states import TaskState
from .base import Message


class SubmitJob(Message, frozen=True):
    """Asks a ledger's owner to accept a batch job.

    Parameters
    ----------
    run_seconds : float
        The expected run time.
    """

    task: TaskId
    kind: KindId
    team: TeamId
    run_seconds: float


class CancelJob(Message, frozen=True):
    """Asks a ledger's owner to cancel a task."""

    task: TaskId
    team: TeamId


class QueryJob(Message, frozen=True):
    """Asks a ledger's owner for the status of a task."""

    task: TaskId
    team: TeamId


class JobStatus(Message, frozen=True):
    """Status of a job, as shown to callers and operators.

    Parameters
    ----------
    waits_for : str
        The limit that keeps the job waiting; empty if there is none.
    poll_after_seconds : float
        Seconds after which the caller should poll again.
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
    """Batch jobs of a team, newest first.

    Parameters
    ----------
    total : int
        Number of the team's jobs in the ledger, listed or not.
    """

    jobs: list[JobStatus]
    total: int

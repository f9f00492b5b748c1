"""Log events about the work of the cell's owner."""

import logging

from ..core.ids import JobId, WorkerId
from ..core.log_events import LogEvent, log_event
from ..jobs.record_sizes import Detail


@log_event("jobs unreadable", level=logging.WARNING)
class JobsUnreadable(LogEvent, frozen=True, kw_only=True):
    """The owner could not read new jobs; it retries.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("directory unreadable", level=logging.WARNING)
class DirectoryUnreadable(LogEvent, frozen=True, kw_only=True):
    """The owner could not read the directory of workers; it keeps the last one.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("process stood still", level=logging.WARNING)
class ProcessStoodStill(LogEvent, frozen=True, kw_only=True):
    """The owner's process was paused or slow; it checks whether another one took over.

    Parameters
    ----------
    slept_s : float
        Seconds since the last round of decisions began.
    """

    slept_s: float


@log_event("decision rounds")
class DecisionRounds(LogEvent, frozen=True, kw_only=True):
    """Rounds of decisions since the last such line; written by the owner every 2 s.

    Parameters
    ----------
    rounds : int
        How many there were.
    busy_s : float
        Seconds that they took in all.
    longest_s : float
        Seconds of the longest one.
    longest_gap_s : float
        Longest time in seconds from the end of one to the start of the next.
    reports : int
        Reports of workers handled.
    """

    rounds: int
    busy_s: float
    longest_s: float
    longest_gap_s: float
    reports: int


@log_event("job not opened", level=logging.ERROR)
class JobNotOpened(LogEvent, frozen=True, kw_only=True):
    """A programming error while a logged job was opened; none of its tasks starts.

    Parameters
    ----------
    job : str
        Its id.
    """

    job: JobId


@log_event("decisions failed", level=logging.ERROR)
class DecisionsFailed(LogEvent, frozen=True, kw_only=True):
    """A programming error in a round of decisions; the next round follows."""


@log_event("renewal failed", level=logging.ERROR)
class RenewalFailed(LogEvent, frozen=True, kw_only=True):
    """A programming error in a renewal of a worker's leases; it is repeated.

    The worker counts as unreachable meanwhile, and all others are served.

    Parameters
    ----------
    worker : str
        Id of the worker.
    """

    worker: WorkerId


@log_event("order failed", level=logging.ERROR)
class OrderFailed(LogEvent, frozen=True, kw_only=True):
    """A programming error in an order to a worker; it counts as unanswered.

    Parameters
    ----------
    worker : str
        Id of the worker.
    """

    worker: WorkerId


@log_event("loop ended by an error", level=logging.ERROR)
class LoopEnded(LogEvent, frozen=True, kw_only=True):
    """A programming error in a task of the owner; the cell is given up."""


@log_event("progress too large", level=logging.ERROR)
class ProgressTooLarge(LogEvent, frozen=True, kw_only=True):
    """A job's progress is larger than the log's limit; the job ends as failed.

    A later owner could not go on with it.

    Parameters
    ----------
    job : str
        The job.
    """

    job: JobId


@log_event("progress shortened")
class ProgressShortened(LogEvent, frozen=True, kw_only=True):
    """A job's progress was logged without some details, for the log's limit.

    Without checkpoints, its interrupted tasks begin anew under the next owner. In a
    summary, the failures and losses of its unfinished tasks aren't counted either.

    Parameters
    ----------
    job : str
        The job.
    detail : str
        ``no-checkpoints`` or ``summary``.
    size_bytes : int
        Size of the record.
    """

    job: JobId
    detail: Detail
    size_bytes: int


@log_event("record refused", level=logging.ERROR)
class RecordRefused(LogEvent, frozen=True, kw_only=True):
    """The log refuses a record of the owner for its size; it isn't sent again as it is.

    A job whose progress is refused ends as failed, since a later owner could not go on
    with it. A refused handover is built anew after 3 s; workers that only it names get
    no starts.

    Parameters
    ----------
    record : str
        Id of a job, or ``handover``.
    size_bytes : int
        Size of the record or, of a handover, of its changed records.
    cause : str
        The error with its step and peer.
    """

    record: str
    size_bytes: int
    cause: str


@log_event("progress not logged", level=logging.WARNING)
class ProgressNotLogged(LogEvent, frozen=True, kw_only=True):
    """The log didn't confirm an append of progress; it is repeated.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("records deleted")
class RecordsDeleted(LogEvent, frozen=True, kw_only=True):
    """Records of jobs were deleted from the log at the end of their retention.

    Parameters
    ----------
    jobs : int
        Number of jobs.
    """

    jobs: int


@log_event("records not deleted", level=logging.WARNING)
class RecordsNotDeleted(LogEvent, frozen=True, kw_only=True):
    """Deleting records of ended jobs failed; they stay in the log for now.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str

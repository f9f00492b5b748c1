"""Lines of the log about what an owner does."""

import logging

from ..core.log_events import LogEvent, log_event


@log_event("jobs unreadable", level=logging.WARNING)
class JobsUnreadable(LogEvent, frozen=True, kw_only=True):
    """The owner could not read new jobs; it tries again.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("directory unreadable", level=logging.WARNING)
class DirectoryUnreadable(LogEvent, frozen=True, kw_only=True):
    """The owner could not read the directory of workers; the last one holds.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("process stood still", level=logging.WARNING)
class ProcessStoodStill(LogEvent, frozen=True, kw_only=True):
    """The owner was frozen, and checks whether another one came.

    Parameters
    ----------
    slept_s : float
        Seconds for which it did nothing.
    """

    slept_s: float


@log_event("decisions failed", level=logging.ERROR)
class DecisionsFailed(LogEvent, frozen=True, kw_only=True):
    """A fault of ours; the next decisions are made in a moment."""


@log_event("loop ended by an error", level=logging.ERROR)
class LoopEnded(LogEvent, frozen=True, kw_only=True):
    """A fault of ours; the cell is given up."""


@log_event("progress not logged", level=logging.WARNING)
class ProgressNotLogged(LogEvent, frozen=True, kw_only=True):
    """The log didn't confirm progress; the same append is repeated.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("records deleted")
class RecordsDeleted(LogEvent, frozen=True, kw_only=True):
    """Jobs that ended long ago left the log.

    Parameters
    ----------
    jobs : int
        How many.
    """

    jobs: int


@log_event("records not deleted", level=logging.WARNING)
class RecordsNotDeleted(LogEvent, frozen=True, kw_only=True):
    """Records of ended jobs stay in the log for now.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str

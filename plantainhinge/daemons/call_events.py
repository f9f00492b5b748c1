"""Lines of the log about calls of callers and of other instances."""

import logging

from ..core.ids import JobId, MemberName
from ..core.log_events import LogEvent, log_event
from ..jobs.outcomes import CallOutcome


class CallAnswered(LogEvent, frozen=True, kw_only=True):
    """A caller was answered.

    Parameters
    ----------
    job : str
        The id that the caller chose.
    outcome : str
        What the caller was told.
    cause : str
        The queue, or why the log was not asked.
    took_s : float
        Seconds from the call to its answer.
    """

    job: JobId
    outcome: CallOutcome
    cause: str
    took_s: float


@log_event("submit")
class SubmitAnswered(CallAnswered, frozen=True, kw_only=True):
    """A caller handed a job in."""


@log_event("cancel")
class CancelAnswered(CallAnswered, frozen=True, kw_only=True):
    """A caller took a job back."""


@log_event("state")
class StateAnswered(CallAnswered, frozen=True, kw_only=True):
    """A caller asked for a state that could not be told."""


@log_event("append failed", level=logging.WARNING)
class AppendFailed(LogEvent, frozen=True, kw_only=True):
    """The log refused an append for a caller, or lost its answer.

    Parameters
    ----------
    job : str
        The job it was about.
    cause : str
        The error with its step and peer.
    """

    job: JobId
    cause: str


@log_event("state from an old view")
class StateFromOldView(LogEvent, frozen=True, kw_only=True):
    """The log could not be read for a caller, who was told what is known here.

    Parameters
    ----------
    job : str
        The job asked for.
    cause : str
        The error with its step and peer.
    age_s : float
        Seconds since the view was last confirmed.
    """

    job: JobId
    cause: str
    age_s: float


@log_event("count from an old view")
class CountFromOldView(LogEvent, frozen=True, kw_only=True):
    """The log could not be read for a caller who asked how many jobs wait.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("call passed on")
class CallPassedOn(LogEvent, frozen=True, kw_only=True):
    """This instance lost the log and asked another one.

    Parameters
    ----------
    job : str
        The job that the call is about.
    passed_call : str
        What was asked.
    peer : str
        The other process's name in the group.
    outcome : str
        What became of it there.
    """

    job: JobId
    passed_call: str
    peer: MemberName
    outcome: CallOutcome


@log_event("peer failed")
class PeerFailed(LogEvent, frozen=True, kw_only=True):
    """Another instance didn't answer a call that was passed on.

    Parameters
    ----------
    peer : str
        Its name in the group.
    cause : str
        The error with its step and peer.
    """

    peer: MemberName
    cause: str


@log_event("peer call malformed", level=logging.WARNING)
class PeerCallMalformed(LogEvent, frozen=True, kw_only=True):
    """A call of another instance can't be read; it was told so.

    Parameters
    ----------
    cause : str
        What is wrong with it.
    """

    cause: str

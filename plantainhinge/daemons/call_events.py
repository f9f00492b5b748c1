"""Log events about calls from callers and from other instances."""

import logging

from ..core.ids import JobId, MemberName, QueueName, WorkspaceId
from ..core.log_events import LogEvent, log_event
from ..jobs.admission import RefusalCause
from ..jobs.outcomes import CallOutcome


class CallAnswered(LogEvent, frozen=True, kw_only=True):
    """A caller's call was answered.

    Parameters
    ----------
    job : str
        The id that the caller chose.
    outcome : str
        The outcome reported to the caller.
    cause : str
        The job's queue, or what determined the outcome.
    took_s : float
        Seconds from the call to its answer.
    """

    job: JobId
    outcome: CallOutcome
    cause: str
    took_s: float


@log_event("submit")
class SubmitAnswered(CallAnswered, frozen=True, kw_only=True):
    """A caller submitted a job."""


@log_event("cancel")
class CancelAnswered(CallAnswered, frozen=True, kw_only=True):
    """A caller cancelled a job."""


@log_event("state")
class StateAnswered(CallAnswered, frozen=True, kw_only=True):
    """A caller asked for a job's state, and there was none to return."""


@log_event("append failed", level=logging.WARNING)
class AppendFailed(LogEvent, frozen=True, kw_only=True):
    """An append for a caller was refused by the log or not answered.

    Parameters
    ----------
    job : str
        The job of the appended record.
    cause : str
        The error with its step and peer.
    """

    job: JobId
    cause: str


@log_event("state from an old view")
class StateFromOldView(LogEvent, frozen=True, kw_only=True):
    """The log could not be read; the caller got the last known state, if any.

    Parameters
    ----------
    job : str
        The requested job.
    cause : str
        The error with its step and peer.
    age_s : float
        Seconds since the view was last up to date.
    """

    job: JobId
    cause: str
    age_s: float


@log_event("count from an old view")
class CountFromOldView(LogEvent, frozen=True, kw_only=True):
    """The log could not be read; the caller got the last known count, if any.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("configuration not confirmed", level=logging.WARNING)
class ViewNotConfirmed(LogEvent, frozen=True, kw_only=True):
    """Neither the log nor a peer confirmed the configuration in force here.

    Keys that it has stay valid; calls with other keys are refused for now.

    Parameters
    ----------
    age_s : float
        Seconds since it was last confirmed.
    cause : str
        Why the log or the peer that was asked didn't.
    """

    age_s: float
    cause: str


@log_event("caller rejected")
class CallerRejected(LogEvent, frozen=True, kw_only=True):
    """A call was rejected for its key; written at most once a second.

    Parameters
    ----------
    queue : str
        The queue that was called.
    outcome : str
        The outcome reported to the caller.
    rejected : int
        Calls rejected since the last line.
    """

    queue: QueueName
    outcome: CallOutcome
    rejected: int


@log_event("jobs refused")
class JobsRefused(LogEvent, frozen=True, kw_only=True):
    """Jobs were refused for lack of capacity; written at most once a second.

    Parameters
    ----------
    queue, workspace : str
        Queue and workspace of the jobs.
    cause : str
        Whether they would have been too late, or were beyond the workspace's rate.
    jobs : int
        Jobs refused since the last line.
    digest_age_s : float
        Age of the digest that decided.
    """

    queue: QueueName
    workspace: WorkspaceId
    cause: RefusalCause
    jobs: int
    digest_age_s: float


@log_event("digest unreadable", level=logging.WARNING)
class DigestUnreadable(LogEvent, frozen=True, kw_only=True):
    """The owner's admission digest can't be decoded; the last one stays in use.

    Parameters
    ----------
    peer : str
        The owner's name in the group.
    cause : str
        What is wrong with it.
    """

    peer: MemberName
    cause: str


@log_event("call passed on")
class CallPassedOn(LogEvent, frozen=True, kw_only=True):
    """This instance could not settle a call and forwarded it to another one.

    Parameters
    ----------
    job : str
        The job that the call concerns.
    passed_call : str
        The type of the call.
    peer : str
        The other instance's name in the group.
    outcome : str
        The outcome there.
    """

    job: JobId
    passed_call: str
    peer: MemberName
    outcome: CallOutcome


@log_event("peer failed")
class PeerFailed(LogEvent, frozen=True, kw_only=True):
    """Another instance failed to answer a forwarded call.

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
    """A call from another instance can't be decoded and was rejected.

    Parameters
    ----------
    cause : str
        What is wrong with it.
    """

    cause: str

"""Lines of the log about what outside systems sent or answered."""

import logging

from ..core.ids import JobId, WorkerId
from ..core.log_events import LogEvent, log_event


@log_event("worker entry ignored")
class EntryIgnored(LogEvent, frozen=True, kw_only=True):
    """An entry of the directory of workers can't be used.

    Parameters
    ----------
    key : str
        The entry's key.
    cause : str
        The field that is wrong.
    """

    key: str
    cause: str


@log_event("worker report malformed", level=logging.WARNING)
class ReportMalformed(LogEvent, frozen=True, kw_only=True):
    """A worker's lists can't be read; it counts as unanswered.

    Parameters
    ----------
    worker : str
        Its id.
    cause : str
        The field that is wrong.
    """

    worker: WorkerId
    cause: str


@log_event("worker call failed")
class WorkerCallFailed(LogEvent, frozen=True, kw_only=True):
    """A call to a worker brought no answer.

    Parameters
    ----------
    worker : str
        Its id.
    call : str
        The call's path.
    cause : str
        The error with its step and peer.
    """

    worker: WorkerId
    call: str
    cause: str


@log_event("advice refused")
class AdviceRefused(LogEvent, frozen=True, kw_only=True):
    """The service that advises on workers took no call.

    Parameters
    ----------
    advised_step : str
        Job, occurrence and step, with dots between.
    status : int
        The answer's status.
    """

    advised_step: str
    status: int


@log_event("advice failed")
class AdviceFailed(LogEvent, frozen=True, kw_only=True):
    """A call for advice brought no answer that can be read.

    Parameters
    ----------
    advised_step : str
        Job, occurrence and step, with dots between.
    cause : str
        The error with its step and peer.
    """

    advised_step: str
    cause: str


@log_event("job malformed")
class JobMalformed(LogEvent, frozen=True, kw_only=True):
    """A caller's job can't be read; the caller was told so.

    Parameters
    ----------
    job : str
        The id that the caller chose.
    cause : str
        The field that is wrong.
    """

    job: JobId
    cause: str


@log_event("configuration unreadable", level=logging.ERROR)
class ConfigurationUnreadable(LogEvent, frozen=True, kw_only=True):
    """A configuration can't be read; the one before stays in force.

    Parameters
    ----------
    cause : str
        The field that is wrong.
    """

    cause: str


@log_event("request rejected")
class RequestRejected(LogEvent, frozen=True, kw_only=True):
    """Bytes of a connection are no request; the connection was closed.

    Parameters
    ----------
    status : int
        What the peer was told.
    cause : str
        What is wrong.
    """

    status: int
    cause: str


@log_event("handler failed", level=logging.ERROR)
class HandlerFailed(LogEvent, frozen=True, kw_only=True):
    """A fault of ours; the caller got status 500.

    Parameters
    ----------
    path : str
        The path of the request.
    """

    path: str

"""Log events about messages and responses from external systems."""

import logging

from ..core.ids import JobId, WorkerId
from ..core.log_events import LogEvent, log_event


@log_event("worker entry ignored")
class EntryIgnored(LogEvent, frozen=True, kw_only=True):
    """An entry of the worker directory is invalid and was ignored.

    Parameters
    ----------
    key : str
        Key of the entry.
    cause : str
        The invalid field.
    """

    key: str
    cause: str


@log_event("worker report malformed", level=logging.WARNING)
class ReportMalformed(LogEvent, frozen=True, kw_only=True):
    """A worker's report cannot be decoded; the renewal counts as unanswered.

    Parameters
    ----------
    worker : str
        Id of the worker.
    cause : str
        The invalid field.
    """

    worker: WorkerId
    cause: str


@log_event("worker call failed")
class WorkerCallFailed(LogEvent, frozen=True, kw_only=True):
    """A call to a worker brought no response.

    Parameters
    ----------
    worker : str
        Id of the worker.
    call : str
        Path of the call.
    cause : str
        The error, with its step and peer.
    """

    worker: WorkerId
    call: str
    cause: str


@log_event("advice refused")
class AdviceRefused(LogEvent, frozen=True, kw_only=True):
    """The advice service answered with an error status.

    Parameters
    ----------
    advised_step : str
        Job, occurrence and step, joined by dots.
    status : int
        HTTP status of the response.
    """

    advised_step: str
    status: int


@log_event("advice failed")
class AdviceFailed(LogEvent, frozen=True, kw_only=True):
    """A call to the advice service failed or its response cannot be decoded.

    Parameters
    ----------
    advised_step : str
        Job, occurrence and step, joined by dots.
    cause : str
        The error, with its step and peer.
    """

    advised_step: str
    cause: str


@log_event("job malformed")
class JobMalformed(LogEvent, frozen=True, kw_only=True):
    """A submitted job cannot be decoded; the caller gets an error response.

    Parameters
    ----------
    job : str
        Job id that the caller chose.
    cause : str
        The invalid field.
    """

    job: JobId
    cause: str


@log_event("configuration unreadable", level=logging.ERROR)
class ConfigurationUnreadable(LogEvent, frozen=True, kw_only=True):
    """A configuration cannot be decoded; the previous one stays in force.

    Parameters
    ----------
    cause : str
        The invalid field.
    """

    cause: str


@log_event("requests given up", level=logging.WARNING)
class RequestsGivenUp(LogEvent, frozen=True, kw_only=True):
    """A server that stops answers requests that it can't finish with status 504.

    Parameters
    ----------
    requests : int
        Their number.
    """

    requests: int


@log_event("request rejected")
class RequestRejected(LogEvent, frozen=True, kw_only=True):
    """Data received on a connection is not a valid request; the connection is closed.

    Parameters
    ----------
    status : int
        HTTP status that the peer was sent.
    cause : str
        Reason for the rejection.
    """

    status: int
    cause: str


@log_event("accept failed")
class AcceptFailed(LogEvent, frozen=True, kw_only=True):
    """A server can't accept a connection; it tries again after a tenth of a second.

    Parameters
    ----------
    cause : str
        The system's error, such as too many open files.
    """

    cause: str


@log_event("handler failed", level=logging.ERROR)
class HandlerFailed(LogEvent, frozen=True, kw_only=True):
    """A request handler raised an unexpected exception; the caller gets status 500.

    Parameters
    ----------
    path : str
        Path of the request.
    """

    path: str

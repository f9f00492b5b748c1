"""Log events about records that an instance reads from the log."""

import logging

from ..core.ids import DomainId, Epoch, Revision
from ..core.log_events import LogEvent, log_event


@log_event("handover ignored", level=logging.ERROR)
class HandoverIgnored(LogEvent, frozen=True, kw_only=True):
    """The last owner's handover state can't be decoded.

    Parameters
    ----------
    cause : str
        What is wrong with it.
    """

    cause: str


@log_event("record ignored", level=logging.ERROR)
class RecordIgnored(LogEvent, frozen=True, kw_only=True):
    """A record about a job can't be decoded.

    Parameters
    ----------
    key : str
        The record's key.
    cause : str
        What is wrong with it.
    """

    key: str
    cause: str


@log_event("configuration in force")
class ConfigurationInForce(LogEvent, frozen=True, kw_only=True):
    """This instance applied a new configuration.

    Parameters
    ----------
    revision : int
        Revision of the configuration.
    queues, workspaces : int
        Number of queues and of workspaces in it.
    """

    revision: Revision
    queues: int
    workspaces: int


@log_event("failure domain closed")
class DomainClosed(LogEvent, frozen=True, kw_only=True):
    """An operator closed a failure domain; nothing starts there.

    Parameters
    ----------
    closed_domain : str
        The failure domain.
    """

    closed_domain: DomainId


@log_event("failure domain opened")
class DomainOpened(LogEvent, frozen=True, kw_only=True):
    """An operator opened a failure domain again.

    Parameters
    ----------
    opened_domain : str
        The failure domain.
    """

    opened_domain: DomainId


@log_event("record failed", level=logging.ERROR)
class RecordFailed(LogEvent, frozen=True, kw_only=True):
    """A programming error while a record was applied; the record is left out.

    Parameters
    ----------
    topic, key : str
        Where the record is.
    """

    topic: str
    key: str


@log_event("topic trimmed")
class TopicTrimmed(LogEvent, frozen=True, kw_only=True):
    """The log trimmed records before they were read; reading starts over.

    Parameters
    ----------
    topic : str
        The topic.
    position, first : int
        The requested offset, and the first one that the log still has.
    """

    topic: str
    position: int
    first: int


@log_event("log lost", level=logging.WARNING)
class LogLost(LogEvent, frozen=True, kw_only=True):
    """Reading operator records failed; the log can't be reached or rejects calls.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    epoch : int, optional
        The epoch under which this instance owns the cell; null if it doesn't.
    """

    cause: str
    epoch: Epoch | None


@log_event("log regained")
class LogRegained(LogEvent, frozen=True, kw_only=True):
    """Reading operator records works again.

    Parameters
    ----------
    lost_s : float
        Seconds since it was lost.
    epoch : int, optional
        The epoch under which this instance owns the cell; null if it doesn't.
    """

    lost_s: float
    epoch: Epoch | None

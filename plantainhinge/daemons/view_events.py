"""Lines of the log about what an instance read."""

import logging

from ..core.ids import DomainId, Revision
from ..core.log_events import LogEvent, log_event


@log_event("handover ignored", level=logging.ERROR)
class HandoverIgnored(LogEvent, frozen=True, kw_only=True):
    """What the last owner left doesn't decode.

    Parameters
    ----------
    cause : str
        What is wrong with it.
    """

    cause: str


@log_event("record ignored", level=logging.ERROR)
class RecordIgnored(LogEvent, frozen=True, kw_only=True):
    """A record about a job doesn't decode.

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
    """This instance follows another configuration.

    Parameters
    ----------
    revision : int
        Its revision.
    queues : int
        How many queues it has.
    """

    revision: Revision
    queues: int


@log_event("failure domain closed")
class DomainClosed(LogEvent, frozen=True, kw_only=True):
    """An operator took a failure domain out; nothing starts there.

    Parameters
    ----------
    closed_domain : str
        The failure domain.
    """

    closed_domain: DomainId


@log_event("failure domain opened")
class DomainOpened(LogEvent, frozen=True, kw_only=True):
    """An operator brought a failure domain back.

    Parameters
    ----------
    opened_domain : str
        The failure domain.
    """

    opened_domain: DomainId


@log_event("topic trimmed")
class TopicTrimmed(LogEvent, frozen=True, kw_only=True):
    """The log dropped records before they were read; the newest ones are read.

    Parameters
    ----------
    topic : str
        The topic.
    position, first : int
        The offset wanted, and the first one that the log still has.
    """

    topic: str
    position: int
    first: int


@log_event("log lost", level=logging.WARNING)
class LogLost(LogEvent, frozen=True, kw_only=True):
    """The log can't be reached or turns this instance away.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("log regained")
class LogRegained(LogEvent, frozen=True, kw_only=True):
    """The log answers again.

    Parameters
    ----------
    lost_s : float
        Seconds for which it didn't.
    """

    lost_s: float

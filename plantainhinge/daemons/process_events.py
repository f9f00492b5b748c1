"""Log events about the life cycle of the process."""

import logging

from ..core.log_events import LogEvent, log_event


@log_event("loop failed", level=logging.ERROR)
class LoopFailed(LogEvent, frozen=True, kw_only=True):
    """A programming error in a loop; the loop is restarted.

    Parameters
    ----------
    loop : str
        Name of the loop's function.
    """

    loop: str


@log_event("started")
class Started(LogEvent, frozen=True, kw_only=True):
    """The process accepts calls.

    Parameters
    ----------
    address : str
        ``host:port`` for callers.
    cores : float
        Available processor cores.
    """

    address: str
    cores: float


@log_event("stopping")
class Stopping(LogEvent, frozen=True, kw_only=True):
    """A planned stop began.

    Parameters
    ----------
    owner : bool
        Whether this process owns the cell.
    """

    owner: bool


@log_event("handover cut short", level=logging.WARNING)
class HandoverCutShort(LogEvent, frozen=True, kw_only=True):
    """The log didn't answer a stopping instance in time; it goes on with the stop.

    Parameters
    ----------
    waited_s : float
        Seconds for which it waited.
    """

    waited_s: float


@log_event("stopped")
class Stopped(LogEvent, frozen=True, kw_only=True):
    """The last open call was answered and the process exits.

    Parameters
    ----------
    took_s : float
        Seconds since the stop began.
    """

    took_s: float


@log_event("settings reread")
class SettingsReread(LogEvent, frozen=True, kw_only=True):
    """The settings file was reloaded, after a signal or because it changed.

    Parameters
    ----------
    signalled : bool
        Whether a signal requested the reload.
    changed : list of str
        Settings that differ.
    restart_needed : list of str
        The changed settings that take effect only after a restart.
    """

    signalled: bool
    changed: tuple[str, ...]
    restart_needed: tuple[str, ...]


@log_event("settings unreadable", level=logging.ERROR)
class SettingsUnreadable(LogEvent, frozen=True, kw_only=True):
    """The settings file is invalid; the old settings stay in force.

    Parameters
    ----------
    cause : str
        The invalid setting and the reason.
    """

    cause: str

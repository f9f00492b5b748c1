"""Lines of the log about the process itself."""

import logging

from ..core.log_events import LogEvent, log_event


@log_event("loop failed", level=logging.ERROR)
class LoopFailed(LogEvent, frozen=True, kw_only=True):
    """A fault of ours; the loop begins again.

    Parameters
    ----------
    loop : str
        Its function.
    """

    loop: str


@log_event("started")
class Started(LogEvent, frozen=True, kw_only=True):
    """The process takes calls.

    Parameters
    ----------
    address : str
        Where callers reach it.
    cores : float
        Processors at hand.
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


@log_event("stopped")
class Stopped(LogEvent, frozen=True, kw_only=True):
    """The last call was answered.

    Parameters
    ----------
    took_s : float
        Seconds since the stop began.
    """

    took_s: float


@log_event("settings reread")
class SettingsReread(LogEvent, frozen=True, kw_only=True):
    """The settings file was read again, after a signal or because it changed.

    Parameters
    ----------
    signalled : bool
        Whether a signal asked for it.
    changed : list of str
        Settings that differ.
    restart_needed : list of str
        Those of them that take effect at the next start only.
    """

    signalled: bool
    changed: tuple[str, ...]
    restart_needed: tuple[str, ...]


@log_event("settings unreadable", level=logging.ERROR)
class SettingsUnreadable(LogEvent, frozen=True, kw_only=True):
    """The settings file was read again and is wrong; the old settings hold.

    Parameters
    ----------
    cause : str
        The setting that is wrong.
    """

    cause: str

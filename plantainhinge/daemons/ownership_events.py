"""Log events about the ownership of the cell."""

import logging

from ..core.ids import Epoch, MemberName
from ..core.log_events import LogEvent, log_event


@log_event("joined the group")
class JoinedGroup(LogEvent, frozen=True, kw_only=True):
    """This process joined the group of instances.

    Parameters
    ----------
    member : str
        Its name in the group.
    """

    member: MemberName


@log_event("group call failed", level=logging.WARNING)
class GroupCallFailed(LogEvent, frozen=True, kw_only=True):
    """A call to the group of instances failed.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    silent_s : float
        Seconds since the group's last answer.
    """

    cause: str
    silent_s: float


@log_event("leaving failed", level=logging.WARNING)
class LeavingFailed(LogEvent, frozen=True, kw_only=True):
    """At a planned stop, leaving the group or releasing the cell failed.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("cell claimed")
class CellClaimed(LogEvent, frozen=True, kw_only=True):
    """This process became the owner of the cell and starts to load its state.

    Parameters
    ----------
    epoch : int
        The fencing token of this ownership.
    generation : int
        The group's generation when the claim was decided.
    previous : str
        The previous owner; empty if it released the cell.
    members : int
        Number of processes in the group.
    """

    epoch: Epoch
    generation: int
    previous: MemberName
    members: int


@log_event("claim lost")
class ClaimLost(LogEvent, frozen=True, kw_only=True):
    """Another process claimed the cell first.

    Parameters
    ----------
    epoch : int
        The epoch that was claimed.
    cause : str
        The conflict that the log reported.
    """

    epoch: Epoch
    cause: str


@log_event("cell owned")
class CellOwned(LogEvent, frozen=True, kw_only=True):
    """The new owner has loaded the state of the cell and starts scheduling.

    Parameters
    ----------
    epoch : int
        The fencing token of this ownership.
    jobs, workers : int
        Open jobs and known workers.
    took_s : float
        Seconds since the claim.
    """

    epoch: Epoch
    jobs: int
    workers: int
    took_s: float


@log_event("cell given up")
class CellGivenUp(LogEvent, frozen=True, kw_only=True):
    """This process stopped acting as the owner of the cell.

    Parameters
    ----------
    epoch : int
        The epoch that ended.
    cause : str
        Why the process stopped.
    """

    epoch: Epoch
    cause: str


@log_event("cell handed over")
class CellHandedOver(LogEvent, frozen=True, kw_only=True):
    """The owner releases the cell to a process with many more cores.

    Parameters
    ----------
    to : str
        That process's name in the group.
    """

    to: MemberName


@log_event("owner unwatched")
class OwnerUnwatched(LogEvent, frozen=True, kw_only=True):
    """Watching the owner's record for changes failed; it is retried.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("owner unreadable", level=logging.ERROR)
class OwnerUnreadable(LogEvent, frozen=True, kw_only=True):
    """The owner's record can't be decoded; the cell counts as unowned.

    Parameters
    ----------
    cause : str
        What is wrong with it.
    """

    cause: str


@log_event("ownership not verified", level=logging.WARNING)
class OwnershipNotVerified(LogEvent, frozen=True, kw_only=True):
    """The owner's record could not be read after a pause of the process.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("takeover step failed", level=logging.WARNING)
class TakeoverStepFailed(LogEvent, frozen=True, kw_only=True):
    """A call to the log failed during a takeover; it is retried.

    Parameters
    ----------
    epoch : int
        The epoch that begins.
    attempt : int
        How many attempts failed before this one.
    cause : str
        The error with its step and peer.
    """

    epoch: Epoch
    attempt: int
    cause: str


@log_event("standby behind", level=logging.WARNING)
class StandbyBehind(LogEvent, frozen=True, kw_only=True):
    """The standby could not read the log; its view of the jobs is out of date.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("ownership unconfirmed", level=logging.WARNING)
class OwnershipUnconfirmed(LogEvent, frozen=True, kw_only=True):
    """The log doesn't confirm that this process still owns the cell.

    Parameters
    ----------
    epoch : int
        The fencing token of this ownership.
    age_s : float
        Seconds since the newest confirmation.
    """

    epoch: Epoch
    age_s: float


@log_event("ownership confirmed")
class OwnershipConfirmed(LogEvent, frozen=True, kw_only=True):
    """The log confirms the ownership again.

    Parameters
    ----------
    epoch : int
        The fencing token of this ownership.
    age_s : float
        Seconds since the newest confirmation.
    """

    epoch: Epoch
    age_s: float

"""Lines of the log about who owns the cell."""

import logging

from ..core.ids import Epoch, MemberName
from ..core.log_events import LogEvent, log_event


@log_event("joined the group")
class JoinedGroup(LogEvent, frozen=True, kw_only=True):
    """This process became a member of the group of instances.

    Parameters
    ----------
    member : str
        Its name there.
    """

    member: MemberName


@log_event("group call failed", level=logging.WARNING)
class GroupCallFailed(LogEvent, frozen=True, kw_only=True):
    """The group of instances didn't answer.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    silent_s : float
        Seconds since its last answer.
    """

    cause: str
    silent_s: float


@log_event("leaving failed", level=logging.WARNING)
class LeavingFailed(LogEvent, frozen=True, kw_only=True):
    """The group or the owner's record could not be told of a planned stop.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("cell claimed")
class CellClaimed(LogEvent, frozen=True, kw_only=True):
    """This process became the owner of the cell.

    Parameters
    ----------
    epoch : int
        The fencing token of this ownership.
    generation : int
        The group's, when the claim was decided.
    previous : str
        The owner before; empty if it gave the cell up.
    members : int
        Processes in the group.
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
        The log's answer.
    """

    epoch: Epoch
    cause: str


@log_event("cell owned")
class CellOwned(LogEvent, frozen=True, kw_only=True):
    """The new owner has read everything and begins to act.

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
    """This process no longer acts for the cell.

    Parameters
    ----------
    epoch : int
        The epoch that ended.
    cause : str
        Why.
    """

    epoch: Epoch
    cause: str


@log_event("cell handed over")
class CellHandedOver(LogEvent, frozen=True, kw_only=True):
    """A much larger process is there, and should own the cell.

    Parameters
    ----------
    to : str
        Its name in the group.
    """

    to: MemberName


@log_event("owner unwatched")
class OwnerUnwatched(LogEvent, frozen=True, kw_only=True):
    """The owner's record could not be watched for changes.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("owner unreadable", level=logging.ERROR)
class OwnerUnreadable(LogEvent, frozen=True, kw_only=True):
    """The owner's record doesn't decode; the cell counts as unowned.

    Parameters
    ----------
    cause : str
        What is wrong with it.
    """

    cause: str


@log_event("ownership not verified", level=logging.WARNING)
class OwnershipNotVerified(LogEvent, frozen=True, kw_only=True):
    """The owner's record could not be read after the process stood still.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str


@log_event("takeover step failed", level=logging.WARNING)
class TakeoverStepFailed(LogEvent, frozen=True, kw_only=True):
    """The log refused a step of a takeover, which is tried again.

    Parameters
    ----------
    epoch : int
        The epoch that begins.
    attempt : int
        How many tries failed before.
    cause : str
        The error with its step and peer.
    """

    epoch: Epoch
    attempt: int
    cause: str


@log_event("standby behind", level=logging.WARNING)
class StandbyBehind(LogEvent, frozen=True, kw_only=True):
    """The next owner could not read on, and would begin with an older view.

    Parameters
    ----------
    cause : str
        The error with its step and peer.
    """

    cause: str

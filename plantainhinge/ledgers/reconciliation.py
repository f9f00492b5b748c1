"""Decides about open attempts that are missing from their worker's report."""

from dataclasses import dataclass
from enum import Enum

from ..core.ids import Epoch, Seconds


class AttemptAction(Enum):
    """What a cell's owner does next about an open attempt.

    ``START`` sends a start message, whether for the first time or again, and
    ``LOST`` closes the attempt with that outcome. ``KEEP`` does nothing.
    """

    KEEP = "keep"
    START = "start"
    STOP = "stop"
    LOST = "lost"


@dataclass
class SentStarts:
    """The start messages that this owner has sent for one attempt.

    Parameters
    ----------
    incarnation : int
        The worker's incarnation that the starts name; any other refuses them.
    confirmed_at : Seconds or None
        When the worker first confirmed that it has the attempt, on the owner's
        clock.
    tries : int
        Number of start messages sent.
    """

    incarnation: int
    confirmed_at: Seconds | None = None
    tries: int = 0


def plan_absent_attempt(
    starts: SentStarts | None,
    *,
    placed_under: Epoch,
    epoch: Epoch,
    incarnation: int,
    asked_at: Seconds,
) -> AttemptAction:
    """Decide about an open attempt that is missing from its worker's report.

    A worker reports an ended attempt until it is told to forget it, so a missing
    attempt never reached the worker or was on an earlier incarnation.

    Parameters
    ----------
    starts : SentStarts or None
        None if this owner has sent no start.
    placed_under : Epoch
        The epoch that placed the attempt. An earlier owner may have sent starts
        that are still under way; stopping the attempt makes the worker refuse them.
    incarnation : int
        Incarnation of the worker that sent the report.
    asked_at : Seconds
        When the report was requested, on the owner's clock. An attempt that was
        confirmed after that may be missing from the report although it runs.
    """
    if starts is None:
        return AttemptAction.START if placed_under == epoch else AttemptAction.STOP
    if starts.incarnation != incarnation:
        return AttemptAction.LOST
    if starts.confirmed_at is None:
        return AttemptAction.START
    if asked_at >= starts.confirmed_at:
        return AttemptAction.STOP
    return AttemptAction.KEEP

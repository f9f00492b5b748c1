"""What a cell's owner does about an attempt, given what its worker reports."""

from dataclasses import dataclass
from enum import Enum

from ..core.ids import Epoch, Seconds


class AttemptAction(Enum):
    """The next step for an open attempt."""

    KEEP = "keep"
    START = "start"
    STOP = "stop"
    LOST = "lost"


@dataclass
class SentStarts:
    """The starts that this owner has sent for one attempt.

    Parameters
    ----------
    incarnation : int
        The worker's incarnation that the starts named; any other refuses them.
    confirmed_at : Seconds or None
        When the worker was first known to have the attempt, on the owner's clock.
    tries : int
        How many starts were sent.
    """

    incarnation: int
    confirmed_at: Seconds | None = None
    tries: int = 0


def plan_absent_attempt(
    flight: SentStarts | None,
    *,
    placed_under: Epoch,
    epoch: Epoch,
    incarnation: int,
    asked_at: Seconds,
) -> AttemptAction:
    """Return the step for an open attempt that is not in its worker's report.

    The worker reports an ended attempt until told to forget it, so an attempt
    that is absent never reached it, or was on an earlier incarnation.

    Parameters
    ----------
    flight : Flight or None
        None if this owner has sent no start.
    placed_under : Epoch
        The epoch that placed the attempt. Of an earlier owner's starts nothing is
        known, so such an attempt is stopped, which makes the worker refuse them.
    incarnation : int
        The worker's, from the report.
    asked_at : Seconds
        When the report was asked for, on the owner's clock.
    """
    if flight is None:
        return AttemptAction.START if placed_under == epoch else AttemptAction.STOP
    if flight.incarnation != incarnation:
        return AttemptAction.LOST
    if flight.confirmed_at is None:
        return AttemptAction.START
    if asked_at >= flight.confirmed_at:
        return AttemptAction.STOP
    return AttemptAction.KEEP

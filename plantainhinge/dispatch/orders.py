"""Orders on their way to workers, as the decisions hand them out."""

from dataclasses import dataclass

from ..fleet.model import PaceOrder, StartOrder, StopOrder
from .model import Attempt, Worker


@dataclass(frozen=True, slots=True)
class Start:
    """Send a start; the attempt is entered already."""

    attempt: Attempt
    order: StartOrder


@dataclass(frozen=True, slots=True)
class Stop:
    """Send a stop; without an attempt it only bars a late start."""

    worker: Worker
    order: StopOrder
    attempt: Attempt | None


@dataclass(frozen=True, slots=True)
class Throttle:
    """Send a change of pace."""

    attempt: Attempt
    order: PaceOrder


Command = Start | Stop | Throttle

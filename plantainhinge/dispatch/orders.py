"""Orders on their way to workers, as the decisions hand them out."""

from dataclasses import dataclass

from ..fleet.model import PaceOrder, StartOrder, StopOrder
from .tables import Run, Worker


@dataclass(frozen=True, slots=True)
class Start:
    """Send a start; the attempt is entered already."""

    run: Run
    order: StartOrder


@dataclass(frozen=True, slots=True)
class Stop:
    """Send a stop; without an attempt it only bars a late start."""

    worker: Worker
    order: StopOrder
    run: Run | None


@dataclass(frozen=True, slots=True)
class Pace:
    """Send a change of pace."""

    run: Run
    order: PaceOrder


Command = Start | Stop | Pace

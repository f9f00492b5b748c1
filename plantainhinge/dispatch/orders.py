"""Commands that the scheduler returns: orders with their addressees."""

from dataclasses import dataclass

from ..fleet.model import StartOrder, StopOrder, ThrottleOrder
from .model import Attempt, Worker


@dataclass(frozen=True, slots=True)
class Start:
    """Send a start order; its attempt is already bound to the worker."""

    attempt: Attempt
    order: StartOrder


@dataclass(frozen=True, slots=True)
class Stop:
    """Send a stop order; ``attempt`` is None if the scheduler doesn't know it."""

    worker: Worker
    order: StopOrder
    attempt: Attempt | None


@dataclass(frozen=True, slots=True)
class Throttle:
    """Send a change of an attempt's speed."""

    attempt: Attempt
    order: ThrottleOrder


Command = Start | Stop | Throttle

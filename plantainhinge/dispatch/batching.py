"""Delays long-running steps that arrive together, so that they are placed together.

Which serving images share a worker decides how much best-effort work finds a worker
where it interferes little (``dispatch.worker_choice``), and long-running tasks stay
where they are placed. The load that this answers is many such jobs within a second, as
after the start of a site or a large change. A step that arrives alone isn't delayed.
"""

from collections.abc import Iterable

from .model import OpenStep
from .worker_choice import is_restart

# steps that arrive within this time of each other belong together
ARRIVAL_GAP_SECONDS = 0.3
DELAY_SECONDS_MAX = 0.8


def note_arrivals(waiting: Iterable[OpenStep], previous: float, *, now: float) -> float:
    """Mark the steps that are ready for the first time; return the newest arrival.

    Parameters
    ----------
    previous : float
        Monotonic seconds of the newest arrival so far.
    """
    arrived = [
        step
        for step in waiting
        if step.waiting_since == float("inf") and is_new_long_running(step)
    ]
    together = len(arrived) > 1 or now - previous < ARRIVAL_GAP_SECONDS
    for step in arrived:
        step.waiting_since = now
        step.arrived_with_others = together
    return now if arrived else previous


def is_delayed(step: OpenStep, newest_arrival: float, *, now: float) -> bool:
    """Return whether a step should wait for others that arrive with it."""
    return (
        step.arrived_with_others
        and is_new_long_running(step)
        and now - newest_arrival < ARRIVAL_GAP_SECONDS
        and now - step.waiting_since < DELAY_SECONDS_MAX
    )


def is_new_long_running(step: OpenStep) -> bool:
    """Return whether a long-running step has never been tried to be placed."""
    return (
        step.spec.long_running
        and step.unplaced_since == float("inf")
        and not is_restart(step)
    )

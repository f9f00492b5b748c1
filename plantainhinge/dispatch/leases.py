"""How long a worker's leases last, seen from outside.

Leases end on the worker's own steady clock, which may run slow. What the owner
gives out is reckoned from the newest clock reading; what may still be alive is
bounded from above.
"""

from dataclasses import dataclass

from ..core.ids import Seconds
from .model import Worker

SLOWEST_CLOCK_RATIO = 0.97
MARGIN_SECONDS = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTerms:
    """How leases are given.

    Parameters
    ----------
    length : float
        Seconds for which each renewal holds.
    length_max : float
        Longest lease in seconds that any owner can have given.
    """

    length: Seconds
    length_max: Seconds


def record_answer(
    worker: Worker, *, clock: Seconds, sent: float, received: float
) -> None:
    """Take in a clock reading from an answer."""
    if received >= worker.answered_at:
        worker.clock = clock
        worker.answered_at = received
    worker.reachable = True


def grant_lease(worker: Worker, terms: LeaseTerms, *, now: float) -> Seconds:
    """Return the end of a lease from now, on the worker's clock."""
    elapsed = now - worker.answered_at
    lease_end = worker.clock + elapsed + terms.length
    longest = (elapsed + terms.length) / SLOWEST_CLOCK_RATIO + MARGIN_SECONDS
    worker.latest_expiry = max(worker.latest_expiry, worker.answered_at + longest)
    return Seconds(lease_end)


def assume_earlier_leases(worker: Worker, longest: Seconds, *, now: float) -> None:
    """Allow for leases that an earlier owner may have given until just now.

    Parameters
    ----------
    longest : float
        Longest lease in seconds that it may have given.
    """
    longest = Seconds(longest / SLOWEST_CLOCK_RATIO + MARGIN_SECONDS)
    worker.latest_expiry = max(worker.latest_expiry, now + longest)

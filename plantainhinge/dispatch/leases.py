"""How long a worker's leases last, seen from outside.

Leases end on the worker's own steady clock, which may run slow. What the owner
gives out is reckoned from the newest clock reading; what may still be alive is
bounded from above.
"""

from dataclasses import dataclass

from ..core.ids import Seconds
from .tables import Worker

SLOWEST_CLOCK = 0.97
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


def learn_clock(
    worker: Worker, *, clock: Seconds, sent: float, received: float
) -> None:
    """Take in a clock reading from an answer."""
    if received >= worker.heard_at:
        worker.clock = clock
        worker.heard_at = received
    worker.in_touch = True


def grant_lease(worker: Worker, terms: LeaseTerms, *, now: float) -> Seconds:
    """Return the end of a lease from now, on the worker's clock."""
    elapsed = now - worker.heard_at
    lease_end = worker.clock + elapsed + terms.length
    longest = (elapsed + terms.length) / SLOWEST_CLOCK + MARGIN_SECONDS
    worker.lapse_at = max(worker.lapse_at, worker.heard_at + longest)
    return Seconds(lease_end)


def expect_unknown_leases(worker: Worker, longest: Seconds, *, now: float) -> None:
    """Allow for leases that an earlier owner may have given until just now.

    Parameters
    ----------
    longest : float
        Longest lease in seconds that it may have given.
    """
    longest = Seconds(longest / SLOWEST_CLOCK + MARGIN_SECONDS)
    worker.lapse_at = max(worker.lapse_at, now + longest)

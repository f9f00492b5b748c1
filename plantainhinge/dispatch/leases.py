"""Lease ends and their upper bounds, as computed by the owner.

Leases end by the worker's own monotonic clock, which may run slow. The owner grants
them relative to the newest reading of that clock, and bounds from above the time for
which a lease may still be valid.
"""

from dataclasses import dataclass

from ..core.ids import Seconds
from .model import Worker

# slowest rate of a worker's clock, relative to the owner's clock
SLOWEST_CLOCK_RATIO = 0.97
MARGIN_SECONDS = 0.1
# an attempt is started only under a lease of at least this share of its usual length:
# a shorter one might end before the log confirms the owner again
START_LEASE_RATIO_MIN = 1 / 3


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTerms:
    """Durations of leases.

    Parameters
    ----------
    length : float
        Seconds for which a renewal extends the leases.
    length_max : float
        Longest lease in seconds that any owner can have granted.
    """

    length: Seconds
    length_max: Seconds


def record_answer(worker: Worker, *, clock: Seconds, received: float) -> None:
    """Record that a worker answered, and the clock reading in its answer."""
    if received >= worker.answered_at:
        worker.clock = clock
        worker.answered_at = received
    worker.reachable = True


def compute_lease(length: Seconds, *, confirmed_at: float, now: float) -> Seconds:
    """Return how many seconds a lease that is granted now may last.

    A later owner waits for a full lease from its takeover on. So no lease of an owner
    that was replaced meanwhile may end later than that.

    Parameters
    ----------
    length : float
        Seconds of a full lease, which a later owner waits for.
    confirmed_at : float
        Monotonic seconds at which there was no later owner yet.
    """
    return Seconds(max(0.0, length - max(0.0, now - confirmed_at)))


def grant_lease(worker: Worker, length: Seconds, *, now: float) -> Seconds:
    """Return the end of a lease granted now, on the worker's clock."""
    elapsed = now - worker.answered_at
    lease_end = worker.clock + elapsed + length
    longest = (elapsed + length) / SLOWEST_CLOCK_RATIO + MARGIN_SECONDS
    worker.latest_expiry = max(worker.latest_expiry, worker.answered_at + longest)
    return Seconds(lease_end)


def assume_lease(worker: Worker, longest: Seconds, *, now: float) -> None:
    """Assume that a lease of unknown length was granted immediately before ``now``.

    Parameters
    ----------
    longest : float
        Longest lease in seconds that it may be.
    """
    expiry = now + compute_duration_max(longest)
    worker.latest_expiry = max(worker.latest_expiry, expiry)


def compute_duration_max(length: Seconds) -> Seconds:
    """Return the seconds after which a lease has surely ended, on the owner's clock."""
    return Seconds(length / SLOWEST_CLOCK_RATIO + MARGIN_SECONDS)

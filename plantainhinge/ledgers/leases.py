"""When an attempt on a silent worker has surely ended.

Every start and renewal carries the newest reading of the worker's own clock that
its sender was told, and the worker refuses a message whose reading is older than
``READING_AGE_SECONDS_MAX``. So a lease ends, at the latest,
``READING_AGE_SECONDS_MAX``
plus its duration after the newest reading that any owner can have used, however
long a sender was paused or a message delayed.
"""

from dataclasses import dataclass

import msgspec

from ..core.ids import Seconds

LEASE_SECONDS = 15.0
READING_AGE_SECONDS_MAX = 5.0
CLOCK_DRIFT_RATIO = 0.01
CLOCK_MARGIN_SECONDS = 0.5
RENEWAL_GRACE_SECONDS = 7200.0


class ClockReading(msgspec.Struct, frozen=True):
    """The newest reading of a worker's clock that an owner was told.

    Parameters
    ----------
    incarnation : int
        The worker's incarnation that read it.
    clock : float
        The worker's monotonic clock, in seconds.
    received_at : Seconds
        When the owner took in the reading, on its own monotonic clock.
    """

    incarnation: int
    clock: float
    received_at: Seconds


@dataclass(frozen=True)
class Takeover:
    """How a stream came to its owner.

    Parameters
    ----------
    taken_at : Seconds
        When the owner read back its claim.
    released : bool
        Whether the owner before had finished its calls and let go, or there
        was none.
    predecessors_ended_at : Seconds or None
        When the owner learned that the process of the owner before has ended.
    """

    taken_at: Seconds
    released: bool = False
    predecessors_ended_at: Seconds | None = None


def compute_predecessors_end(takeover: Takeover) -> Seconds:
    """Return when the owners before surely told no more readings to anyone.

    An owner that cannot reach the log goes on renewing leases, and does nothing
    else, for ``RENEWAL_GRACE_SECONDS`` after its last confirmation.
    """
    if takeover.released:
        return takeover.taken_at
    bound = takeover.taken_at + RENEWAL_GRACE_SECONDS * (1 + CLOCK_DRIFT_RATIO)
    if takeover.predecessors_ended_at is None:
        return Seconds(bound)
    return Seconds(min(bound, max(takeover.taken_at, takeover.predecessors_ended_at)))


def compute_latest_expiry(reading: ClockReading | None, takeover: Takeover) -> Seconds:
    """Return when every lease at a worker that stays silent has surely ended.

    Parameters
    ----------
    reading : Reading or None
        The newest one under this owner's epoch. The worker refuses older epochs
        since it answered, so with a reading the owners before no longer count.
    """
    base = (
        compute_predecessors_end(takeover) if reading is None else reading.received_at
    )
    lease = (READING_AGE_SECONDS_MAX + LEASE_SECONDS) * (1 + CLOCK_DRIFT_RATIO)
    return Seconds(base + lease + CLOCK_MARGIN_SECONDS)


def compute_start_limit(reading: ClockReading, deadline: Seconds) -> float:
    """Return the worker's clock from which on it must refuse a start.

    Parameters
    ----------
    deadline : Seconds
        The owner's clock by which the start must have happened or never happen.
    """
    left = deadline - reading.received_at
    drift = CLOCK_DRIFT_RATIO * abs(left)
    return reading.clock + left - drift


def may_renew(confirmed_at: Seconds | None, now: Seconds) -> bool:
    """Return whether an owner last confirmed at ``confirmed_at`` may renew leases."""
    return confirmed_at is not None and now < confirmed_at + RENEWAL_GRACE_SECONDS


def is_stale(as_of: float, incarnation: int, *, clock: float, current: int) -> bool:
    """Return whether a worker must refuse what a message asks.

    Parameters
    ----------
    as_of, incarnation
        What the message says of the worker.
    clock, current
        The worker's own clock and incarnation.
    """
    return incarnation != current or clock - as_of > READING_AGE_SECONDS_MAX


def is_newer(reading: ClockReading | None, other: ClockReading) -> bool:
    """Return whether ``other`` replaces ``reading``."""
    if reading is None or other.incarnation > reading.incarnation:
        return True
    return other.incarnation == reading.incarnation and other.clock >= reading.clock

"""Computes when an attempt on an unreachable worker must have ended.

Every start and renewal carries the newest reading of the worker's clock that the
sender has received. The worker refuses a message whose reading is older than
``READING_AGE_SECONDS_MAX``. A lease therefore expires at the latest
``READING_AGE_SECONDS_MAX`` plus the lease duration after the newest reading that
any owner can have used, however long a sender was paused or a message delayed.
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
    """A reading of a worker's clock, as received by a cell's owner.

    Parameters
    ----------
    incarnation : int
        Incarnation of the worker that read its clock.
    clock : float
        The worker's monotonic clock, in seconds.
    received_at : Seconds
        When the owner received the reading, on the owner's monotonic clock.
    """

    incarnation: int
    clock: float
    received_at: Seconds


@dataclass(frozen=True)
class Takeover:
    """How the owner of a stream took it over.

    Parameters
    ----------
    taken_at : Seconds
        When the owner read its claim back from the log.
    released : bool
        Whether there is no predecessor that may still act: each one finished its
        calls and released the stream, or is known to have ended.
    predecessors_ended_at : Seconds or None
        When the owner learned that the predecessors' processes have ended; None
        while that isn't known of all of them.
    """

    taken_at: Seconds
    released: bool = False
    predecessors_ended_at: Seconds | None = None


def compute_predecessors_end(takeover: Takeover) -> Seconds:
    """Return the latest time at which a predecessor may have renewed a lease.

    An owner that can't reach the log keeps renewing leases, and does nothing else,
    for ``RENEWAL_GRACE_SECONDS`` after its last confirmation.
    """
    if takeover.released:
        return takeover.taken_at
    bound = takeover.taken_at + RENEWAL_GRACE_SECONDS * (1 + CLOCK_DRIFT_RATIO)
    if takeover.predecessors_ended_at is None:
        return Seconds(bound)
    return Seconds(min(bound, max(takeover.taken_at, takeover.predecessors_ended_at)))


def compute_latest_expiry(reading: ClockReading | None, takeover: Takeover) -> Seconds:
    """Return the time by which all leases of an unreachable worker have expired.

    Parameters
    ----------
    reading : ClockReading or None
        The newest one received under this owner's epoch; None if there is none.
        Once a worker has answered an epoch, it refuses older ones, so predecessors
        count only as long as there is no reading.
    """
    base = (
        compute_predecessors_end(takeover) if reading is None else reading.received_at
    )
    lease = (READING_AGE_SECONDS_MAX + LEASE_SECONDS) * (1 + CLOCK_DRIFT_RATIO)
    return Seconds(base + lease + CLOCK_MARGIN_SECONDS)


def compute_start_limit(reading: ClockReading, deadline: Seconds) -> float:
    """Convert the deadline of a start to the worker's clock.

    Clock drift is subtracted, so the result is never later than the deadline.

    Parameters
    ----------
    deadline : Seconds
        Time on the owner's clock from which the attempt must not start any more.
    """
    left = deadline - reading.received_at
    drift = CLOCK_DRIFT_RATIO * abs(left)
    return reading.clock + left - drift


def may_renew(confirmed_at: Seconds | None, now: Seconds) -> bool:
    """Return whether an owner last confirmed at ``confirmed_at`` may renew leases.

    This allows for log outages much longer than an owner's own lease, so that an
    outage doesn't end the attempts.
    """
    return confirmed_at is not None and now < confirmed_at + RENEWAL_GRACE_SECONDS


def is_stale(as_of: float, incarnation: int, *, clock: float, current: int) -> bool:
    """Return whether a worker must refuse a message because its reading is old.

    Parameters
    ----------
    as_of, incarnation
        The worker's clock and incarnation as stated in the message.
    clock, current
        The worker's actual clock and incarnation.
    """
    return incarnation != current or clock - as_of > READING_AGE_SECONDS_MAX


def is_newer(reading: ClockReading | None, other: ClockReading) -> bool:
    """Return whether ``other`` replaces ``reading``.

    Reports can arrive out of order, so an older reading must not win.
    """
    if reading is None or other.incarnation > reading.incarnation:
        return True
    return other.incarnation == reading.incarnation and other.clock >= reading.clock

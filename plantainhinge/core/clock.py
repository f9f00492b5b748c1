"""The clock of the runtime; tests pause and advance it with ``time_machine``."""

import time

from .ids import Seconds


def read_monotonic() -> Seconds:
    """Return seconds on a clock that never steps, for intervals."""
    return Seconds(time.monotonic())


def read_wall() -> Seconds:
    """Return seconds since the Unix epoch, for people and for time lines."""
    return Seconds(time.time())


def read_uptime() -> Seconds:
    """Return seconds on a clock that counts the time of a suspended system."""
    return Seconds(time.clock_gettime(time.CLOCK_BOOTTIME))

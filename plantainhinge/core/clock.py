"""Clocks of the running process; tests control them with ``time_machine``."""

import time

from .ids import Seconds


def read_monotonic() -> Seconds:
    """Return the monotonic clock, which is used to measure intervals."""
    return Seconds(time.monotonic())


def read_wall() -> Seconds:
    """Return seconds since the Unix epoch, for display and for event timelines."""
    return Seconds(time.time())


def read_uptime() -> Seconds:
    """Return seconds since boot, including the time the system was suspended."""
    return Seconds(time.clock_gettime(time.CLOCK_BOOTTIME))

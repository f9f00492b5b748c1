"""Outages of workers, and how attempts are known to have ended by them."""

from dataclasses import dataclass
from enum import Enum


class LossCause(Enum):
    """How it is known that an attempt ended with its worker."""

    RESTARTED = "restarted"
    # another worker answers at its address
    REPLACED = "replaced"
    # its lease has certainly ended; the worker may have crashed or be cut off
    SILENT = "silent"
    # an announced end; nothing crashed
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Outage:
    """A worker fell silent, or was found to have restarted.

    Parameters
    ----------
    at : float
        Monotonic seconds.
    incarnation : int
        The worker's incarnation until then.
    """

    at: float
    incarnation: int

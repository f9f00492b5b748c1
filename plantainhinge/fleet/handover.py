"""What an owner leaves in the log for the next one, besides the jobs' progress."""

import msgspec

from ..core.packing import decode_record
from .model import WorkerEntry

HANDOVER_KEY = "handover"


class PairWeight(msgspec.Struct, frozen=True, array_like=True):
    """How strongly work of one image disturbs serving tasks of another."""

    serving: str
    best_effort: str
    weight: float


class Handover(msgspec.Struct, frozen=True, kw_only=True):
    """What the owner knows that no one else can tell.

    Parameters
    ----------
    workers : tuple of WorkerEntry
        Workers that may run something, listed in the directory or not.
    pairs : tuple of PairWeight
        What was learned of images side by side.
    lease_seconds : float
        Longest lease that this owner or one before it gave; 0 if unknown.
    """

    workers: tuple[WorkerEntry, ...] = ()
    pairs: tuple[PairWeight, ...] = ()
    lease_seconds: float = 0.0


def encode_handover(handover: Handover) -> bytes:
    """Return the record's value in the log."""
    return msgspec.msgpack.encode(handover)


def decode_handover(value: bytes) -> Handover:
    """Return the record in a value of the log.

    Raises
    ------
    CorruptRecordError
        If it isn't one.
    """
    return decode_record(value, Handover, step="handover.decode")

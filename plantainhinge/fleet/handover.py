"""State of the cell, apart from job progress, that an owner logs for its successor."""

from typing import Annotated

import msgspec

from ..core.ids import Epoch, JobId, WorkerId
from ..core.packing import decode_record
from ..jobs.model import TaskKey
from .model import WorkerEntry

HANDOVER_KEY = "handover"


class PairWeight(msgspec.Struct, frozen=True, array_like=True):
    """Estimated interference of best-effort work of one image with serving tasks.

    Parameters
    ----------
    serving : str
        Image of the serving tasks that are slowed down.
    best_effort : str
        Image of the best-effort work beside them.
    """

    serving: str
    best_effort: str
    weight: float


class LoadCurve(msgspec.Struct, frozen=True, array_like=True):
    """Load that rises and falls with a steady period.

    Parameters
    ----------
    frequency : float
        Hertz.
    mean, cosine, sine : float
        Coefficients of the curve, by seconds since the Unix epoch.
    """

    frequency: Annotated[float, msgspec.Meta(gt=0)]
    mean: float
    cosine: float
    sine: float


class StepLoad(msgspec.Struct, frozen=True, array_like=True):
    """Learned own load of the serving tasks of one step."""

    job: JobId
    occurrence: int
    step: int
    curve: LoadCurve


class SilentWorker(msgspec.Struct, frozen=True, array_like=True):
    """A worker that didn't answer the owner, and the tasks that may run there.

    Parameters
    ----------
    tasks : tuple of TaskKey
        All that the worker may run. The owner starts no more there before it has logged
        a handover that doesn't name the worker as silent.
    """

    worker: WorkerId
    tasks: tuple[TaskKey, ...]


class Handover(msgspec.Struct, frozen=True, kw_only=True):
    """State that the next owner can obtain nowhere else.

    Parameters
    ----------
    workers : tuple of WorkerEntry
        Workers that may run attempts, including those that are no longer listed in the
        directory.
    pairs : tuple of PairWeight
        Interference weights learned so far, by pairs of images.
    lease_seconds : float
        Longest lease that this owner or an earlier one granted; 0 if unknown.
    loads : tuple of StepLoad
        Own loads of serving steps learned so far.
    epoch : Epoch
        Epoch of the owner that wrote it; 0 if unknown.
    silent : tuple of SilentWorker
        Those of the workers that didn't answer.
    """

    workers: tuple[WorkerEntry, ...] = ()
    pairs: tuple[PairWeight, ...] = ()
    lease_seconds: float = 0.0
    loads: tuple[StepLoad, ...] = ()
    epoch: Epoch = Epoch(0)
    silent: tuple[SilentWorker, ...] = ()


def encode_handover(handover: Handover) -> bytes:
    """Return the value that stores a handover in the log."""
    return msgspec.msgpack.encode(handover)


def decode_handover(value: bytes) -> Handover:
    """Decode the handover in a value of the log.

    Raises
    ------
    CorruptRecordError
        If the value is not an encoded handover.
    """
    return decode_record(value, Handover, step="handover.decode")

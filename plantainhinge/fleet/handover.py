"""State of the cell, apart from job progress, that an owner logs for its successor."""

import zlib
from typing import Annotated

import msgspec

from ..core.ids import Epoch, JobId, WorkerId
from ..core.packing import decode_record
from ..jobs.model import TaskKey
from .model import WorkerEntry

HANDOVER_KEY = "handover"
# workers in one record, of which a site with more has several
WORKERS_PER_RECORD_MAX = 500
# of the arrays around the workers of a record
PART_HEADER_BYTES = 8
# what is left out of a record that is too large, by steps. An owner can learn loads and
# weights again; it treats a worker that isn't named as silent like one that is unknown.
DROPPED_FIELDS: tuple[dict[str, tuple[()]], ...] = (
    {},
    {"loads": ()},
    {"loads": (), "pairs": ()},
    {"loads": (), "pairs": (), "silent": ()},
)


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
        directory. On any other worker, nothing was ever started or its lease has ended.
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
    parts : int
        Number of further records that hold its workers; 0 if it holds them itself.
    """

    workers: tuple[WorkerEntry, ...] = ()
    pairs: tuple[PairWeight, ...] = ()
    lease_seconds: float = 0.0
    loads: tuple[StepLoad, ...] = ()
    epoch: Epoch = Epoch(0)
    silent: tuple[SilentWorker, ...] = ()
    parts: int = 0


class WorkersPart(msgspec.Struct, frozen=True, array_like=True):
    """One of several records that hold the workers of a handover."""

    workers: tuple[WorkerEntry, ...]


def encode_handover(handover: Handover, *, record_bytes_max: int) -> dict[str, bytes]:
    """Return the records that store a handover in the log, by key.

    The workers of a large site are spread over several records by a hash of their
    names, so that a change of one worker changes one record. What an owner can learn
    again is left out if the record would be too large otherwise.

    Parameters
    ----------
    record_bytes_max : int
        Largest value of a record. No value is larger, whatever the workers' entries
        contain, as long as a single entry fits.
    """
    records: dict[str, bytes] = {}
    is_large = len(handover.workers) > WORKERS_PER_RECORD_MAX
    if is_large or len(msgspec.msgpack.encode(handover)) > record_bytes_max:
        parts = _spread_workers(handover.workers, bytes_max=record_bytes_max)
        for index, rows in enumerate(parts):
            records[f"{HANDOVER_KEY}-{index}"] = msgspec.msgpack.encode([rows])
        handover = msgspec.structs.replace(handover, workers=(), parts=len(parts))
    for dropped in DROPPED_FIELDS:
        value = msgspec.msgpack.encode(msgspec.structs.replace(handover, **dropped))
        if len(value) <= record_bytes_max:
            break
    records[HANDOVER_KEY] = value
    return records


def _spread_workers(
    workers: tuple[WorkerEntry, ...], *, bytes_max: int
) -> list[list[msgspec.Raw]]:
    """Spread encoded workers over records, with room for twice as many as there are.

    The number of records is a power of two, so that it seldom changes. Workers that
    don't fit into theirs go into further ones.
    """
    wanted = 2 * len(workers) // WORKERS_PER_RECORD_MAX
    parts: list[list[msgspec.Raw]] = [[] for _ in range(1 << wanted.bit_length())]
    sizes = [PART_HEADER_BYTES] * len(parts)
    surplus = []
    for entry in workers:
        row = msgspec.msgpack.encode(entry)
        index = zlib.crc32(entry.worker.encode()) % len(parts)
        if sizes[index] + len(row) > bytes_max:
            surplus.append(row)
            continue
        parts[index].append(msgspec.Raw(row))
        sizes[index] += len(row)
    size = bytes_max
    for row in surplus:
        if size + len(row) > bytes_max:
            parts.append([])
            size = PART_HEADER_BYTES
        parts[-1].append(msgspec.Raw(row))
        size += len(row)
    return parts


def decode_handover(value: bytes) -> Handover:
    """Decode the main record of a handover.

    Raises
    ------
    CorruptRecordError
        If the value is not an encoded handover.
    """
    return decode_record(value, Handover, step="handover.decode")


class HandoverRecords:
    """The records of the newest handover, in whatever order they are read."""

    def __init__(self) -> None:
        self._main = Handover()
        self._parts: dict[str, tuple[WorkerEntry, ...]] = {}

    def apply(self, key: str, value: bytes) -> None:
        """Apply one record.

        Raises
        ------
        CorruptRecordError
            If it can't be decoded; the one before it stays.
        """
        if key == HANDOVER_KEY:
            self._main = decode_handover(value)
        else:
            part = decode_record(value, WorkersPart, step="handover.decode")
            self._parts[key] = part.workers

    def combine(self) -> Handover:
        """Return the handover with all its workers."""
        workers = list(self._main.workers)
        for index in range(self._main.parts):
            workers.extend(self._parts.get(f"{HANDOVER_KEY}-{index}", ()))
        return msgspec.structs.replace(self._main, workers=tuple(workers), parts=0)

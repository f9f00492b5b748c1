"""Records about jobs in the keyed log.

An accepted job, its cancellation and its progress are stored under separate keys, so
that a repeated write of one never overwrites another.
"""

import zlib
from enum import Enum

import msgspec

from ..core.errors import CorruptRecordError
from ..core.ids import AttemptNumber, JobId, QueueName, WorkerId
from ..core.packing import DECODING_ERRORS
from .model import JobRecord, JobState

DECODE_STEP = "jobs.decode"
# no record begins with this byte unless it is compressed
ZLIB_HEADER = b"\x78"
DECOMPRESSED_BYTES_MAX = 16 * 1024 * 1024


class RecordKind(Enum):
    """Kind of a record; its value is the first character of the key."""

    ACCEPTED = "j"
    CANCELLED = "c"
    PROGRESS = "p"


class LostAttempt(msgspec.Struct, array_like=True, frozen=True):
    """An attempt that ended with its worker.

    Parameters
    ----------
    incarnation : int
        Incarnation of the worker that was ordered to start it.
    confirmed : bool
        Whether the worker is known to have crashed. Otherwise it was silent until its
        leases had ended, and may have been cut off.
    shared : bool
        Whether many other workers were lost at the same moment, and the attempt had run
        well until then.
    on_trial : bool
        Whether nothing else had just started on the worker (see ``dispatch.trials``).
    """

    attempt: AttemptNumber
    worker: WorkerId
    incarnation: int
    confirmed: bool = False
    shared: bool = False
    on_trial: bool = False


class TaskProgress(msgspec.Struct, array_like=True, frozen=True):
    """State of an unfinished task that a later owner needs.

    Parameters
    ----------
    last_attempt : int
        Highest attempt number that any owner has ordered.
    failed_attempts : tuple of int
        Numbers of the attempts that failed. Numbers rather than a count, because a
        worker may report the end of an attempt again to a new owner that already knows
        of it from the log.
    checkpoint : str
        Newest checkpoint; empty if there is none.
    losses : tuple of LostAttempt
        Attempts that ended with their workers.
    pending : tuple of LostAttempt
        Attempts on silent workers, and those of a task with losses that were ordered or
        are about to be. Each counts as lost unless its worker tells a later owner what
        became of it.
    """

    last_attempt: int
    failed_attempts: tuple[int, ...] = ()
    checkpoint: str = ""
    losses: tuple[LostAttempt, ...] = ()
    pending: tuple[LostAttempt, ...] = ()


class StepProgress(msgspec.Struct, array_like=True, frozen=True):
    """Progress of a step within an occurrence.

    Parameters
    ----------
    done : bytes
        Bitmap of the finished tasks; the lowest bit of the first byte is the task at
        position 0.
    tasks : dict of int to TaskProgress
        State of unfinished tasks by position.
    """

    done: bytes = b""
    tasks: dict[int, TaskProgress] = {}


class OccurrenceProgress(msgspec.Struct, array_like=True, frozen=True):
    """Progress of an occurrence, step by step."""

    steps: tuple[StepProgress, ...]


class Progress(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Stored progress of a job.

    Parameters
    ----------
    finished_below : int
        All occurrences with a lower number are finished.
    earlier_attempts : int
        Number that any unfinished task's last attempt may have had; 0 if the tasks'
        own say it.
    """

    job: JobId
    queue: QueueName
    state: JobState
    finished_below: int = 0
    occurrences: dict[int, OccurrenceProgress] = {}
    earlier_attempts: int = 0


class Cancellation(msgspec.Struct, frozen=True, kw_only=True):
    """A caller has cancelled the job."""

    job: JobId


Record = JobRecord | Cancellation | Progress

_KINDS: dict[type, RecordKind] = {
    JobRecord: RecordKind.ACCEPTED,
    Cancellation: RecordKind.CANCELLED,
    Progress: RecordKind.PROGRESS,
}
_TYPES = {kind: type_ for type_, kind in _KINDS.items()}
_ENCODER = msgspec.msgpack.Encoder()
_DECODERS: dict[RecordKind, msgspec.msgpack.Decoder] = {
    kind: msgspec.msgpack.Decoder(type_) for kind, type_ in _TYPES.items()
}


def build_key(record: Record) -> str:
    """Return the key under which a record is stored in the log."""
    return _KINDS[type(record)].value + record.job


def list_job_keys(job: JobId) -> dict[RecordKind, str]:
    """Return all keys under which the log may hold records of a job, by kind."""
    return {kind: kind.value + job for kind in RecordKind}


def encode_record(record: Record) -> bytes:
    """Return the value that stores a record in the log."""
    return _ENCODER.encode(record)


def decode_record(key: str, value: bytes) -> Record:
    """Decode the record that is stored under ``key``.

    Raises
    ------
    CorruptRecordError
        If this release writes no such key or value, or if the value is about another
        job than the key.
    """
    try:
        if value.startswith(ZLIB_HEADER):
            value = _decompress(value)
        record: Record = _DECODERS[RecordKind(key[:1])].decode(value)
    except (ValueError, zlib.error, *DECODING_ERRORS) as error:
        raise CorruptRecordError(
            f"record {key!r}: {error}", step=DECODE_STEP
        ) from error
    if record.job != key[1:]:
        raise CorruptRecordError(
            f"record {key!r} is about job {record.job!r}", step=DECODE_STEP
        )
    return record


def _decompress(value: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(value, DECOMPRESSED_BYTES_MAX)
    if not decompressor.eof:
        raise ValueError("a compressed record is cut short or too large")
    return content


def drop_checkpoints(progress: Progress) -> Progress:
    """Return a job's progress without checkpoints, which take up most of its size."""
    return msgspec.structs.replace(
        progress,
        occurrences={
            number: OccurrenceProgress(
                tuple(
                    msgspec.structs.replace(
                        step,
                        tasks={
                            position: msgspec.structs.replace(task, checkpoint="")
                            for position, task in step.tasks.items()
                        },
                    )
                    for step in occurrence.steps
                )
            )
            for number, occurrence in progress.occurrences.items()
        },
    )


def pack_bits(indices: set[int]) -> bytes:
    """Return a little-endian bitmap of the indices."""
    number = sum(1 << index for index in indices)
    return number.to_bytes((number.bit_length() + 7) // 8, "little")


def unpack_bits(bits: bytes) -> set[int]:
    """Return the indices whose bits are set in a bitmap."""
    number = int.from_bytes(bits, "little")
    return {index for index in range(len(bits) * 8) if number >> index & 1}

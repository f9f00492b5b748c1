"""The log's records about jobs, each under a key of its own.

An accepted job, its cancellation and its progress have separate keys, so that a
repeated write of one can never take back another.
"""

from enum import Enum

import msgspec

from ..core.errors import CorruptRecordError
from ..core.ids import JobId, QueueName
from .model import JobRecord, JobState

STEP = "jobs.decode"


class RecordKind(Enum):
    """What a record is about; the first character of its key."""

    ACCEPTED = "j"
    CANCELLED = "c"
    PROGRESS = "p"


class TaskProgress(msgspec.Struct, array_like=True, frozen=True):
    """What a later owner must know of a task that isn't done.

    Parameters
    ----------
    attempt : int
        Highest attempt that was ever ordered.
    failed : tuple of int
        Attempts that ended by a fault. By number, since a worker may list the end
        of one to an owner that knows of it from the log already.
    checkpoint : str
        Newest saved progress; empty for none.
    """

    last_attempt: int
    failed_attempts: tuple[int, ...] = ()
    checkpoint: str = ""


class StepProgress(msgspec.Struct, array_like=True, frozen=True):
    """How far one step of an occurrence has come.

    Parameters
    ----------
    done : bytes
        One bit a task, lowest index in the lowest bit.
    """

    done: bytes = b""
    tasks: dict[int, TaskProgress] = {}


class OccurrenceProgress(msgspec.Struct, array_like=True, frozen=True):
    """How far one occurrence has come."""

    steps: tuple[StepProgress, ...]


class Progress(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """How far a job has come.

    Parameters
    ----------
    finished_below : int
        All occurrences with a lower number are done.
    """

    job: JobId
    queue: QueueName
    state: JobState
    finished_below: int = 0
    occurrences: dict[int, OccurrenceProgress] = {}


class Cancellation(msgspec.Struct, frozen=True, kw_only=True):
    """A caller took the job back."""

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
    """Return the key under which the log keeps a record."""
    return _KINDS[type(record)].value + record.job


def list_job_keys(job: JobId) -> dict[RecordKind, str]:
    """Return all keys under which the log may hold something of a job."""
    return {kind: kind.value + job for kind in RecordKind}


def encode_record(record: Record) -> bytes:
    """Return a record's value."""
    return _ENCODER.encode(record)


def decode_record(key: str, value: bytes) -> Record:
    """Return the record under ``key``.

    Raises
    ------
    CorruptRecordError
        If key or value are not what this release writes.
    """
    try:
        record: Record = _DECODERS[RecordKind(key[:1])].decode(value)
    except (ValueError, msgspec.MsgspecError) as error:
        raise CorruptRecordError(f"record {key!r}: {error}", step=STEP) from error
    if record.job != key[1:]:
        raise CorruptRecordError(
            f"record {key!r} is about job {record.job!r}", step=STEP
        )
    return record


def pack_bits(indices: set[int]) -> bytes:
    """Return a bitmap of the indices."""
    number = sum(1 << index for index in indices)
    return number.to_bytes((number.bit_length() + 7) // 8, "little")


def unpack_bits(bits: bytes) -> set[int]:
    """Return the indices in a bitmap."""
    number = int.from_bytes(bits, "little")
    return {index for index in range(len(bits) * 8) if number >> index & 1}

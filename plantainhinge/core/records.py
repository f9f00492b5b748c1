"""Typed records of the platform's log and the batch that carries them.

Every stream is replayed from these records. A field is only ever added at the
end with a default; any other change takes a new ``RECORD_VERSION``.
"""

import struct
import zlib

import msgspec

from .errors import CorruptRecordError, UnknownVersionError
from .ids import (
    AttemptNumber,
    DomainId,
    Epoch,
    KindId,
    Offset,
    ProcessId,
    RackId,
    RequestId,
    RequestKey,
    Revision,
    Sequence,
    ServiceId,
    TaskId,
    TeamId,
    WorkerId,
    WriterId,
)
from .resources import Resources
from .states import AttemptOutcome, TaskClass

RECORD_VERSION = 1


class Record(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all records."""


class ConfigurationPublished(Record, frozen=True, tag="conf"):
    """A whole configuration, made from the revision ``based_on``.

    Parameters
    ----------
    document : str
        The operators' text, with its comments.
    checked : bytes
        The same configuration as its publisher checked it, in plain JSON, which
        readers decode without parsing the text; empty to parse the text.
    """

    document: str
    based_on: Revision
    operator: str
    checked: bytes = b""


class OwnershipClaimed(Record, frozen=True, tag="own"):
    """A process takes over the stream under the next epoch."""

    epoch: Epoch
    owner: ProcessId
    address: str


class OwnershipConfirmed(Record, frozen=True, tag="beat"):
    """The owner of the stream is alive; its heartbeat on an idle stream."""

    epoch: Epoch


class OwnershipReleased(Record, frozen=True, tag="rel"):
    """The owner leaves in an orderly way; a successor need not wait."""

    epoch: Epoch


class PredecessorsEnded(Record, frozen=True, tag="pre"):
    """All owners before have surely ended, so no message of theirs can come."""

    epoch: Epoch


class TaskAccepted(Record, frozen=True, tag="acc"):
    """A batch job or service replica enters the ledger."""

    task: TaskId
    team: TeamId
    kind: KindId
    task_class: TaskClass
    resources: Resources
    priority: int
    urgent: bool
    run_seconds: float
    service: ServiceId = ServiceId("")


class TaskCancelled(Record, frozen=True, tag="can"):
    """A caller no longer wants the task."""

    task: TaskId


class TaskRejected(Record, frozen=True, tag="rej"):
    """The task can never run; its final state is failed with ``reason``."""

    task: TaskId
    reason: str


class AttemptAssigned(Record, frozen=True, tag="asg"):
    """The ledger gives an attempt to the cell of one failure domain."""

    task: TaskId
    attempt: AttemptNumber
    cell: DomainId


class AttemptEnded(Record, frozen=True, tag="end"):
    """The ledger takes note that a cell closed an attempt."""

    task: TaskId
    attempt: AttemptNumber
    outcome: AttemptOutcome
    checkpoint: str
    reason: str = ""
    worker: WorkerId = WorkerId("")


class RequestClaimed(Record, frozen=True, tag="clm"):
    """A gateway is the only one to send a non-idempotent request.

    Parameters
    ----------
    key_at : float
        When the key was made, in seconds since the Unix epoch; 0 if unknown.
    """

    key: RequestKey
    request: RequestId
    gateway: ProcessId
    key_at: float = 0.0


class RequestReleased(Record, frozen=True, tag="unc"):
    """The claiming gateway never sent the request and never will."""

    key: RequestKey
    request: RequestId


class RequestSettled(Record, frozen=True, tag="set"):
    """The claimed request ran to a whole answer."""

    key: RequestKey
    request: RequestId


class WorkerJoined(Record, frozen=True, tag="wrk"):
    """A worker of the cell's failure domain with its capacity."""

    worker: WorkerId
    address: str
    rack: RackId
    capacity: Resources


class WorkerLeft(Record, frozen=True, tag="wrl"):
    """A worker is gone and all its attempts are closed."""

    worker: WorkerId


class AttemptPlaced(Record, frozen=True, tag="plc"):
    """The cell commits a worker's resources to an attempt before it starts."""

    task: TaskId
    attempt: AttemptNumber
    worker: WorkerId
    kind: KindId
    task_class: TaskClass
    resources: Resources
    ledger: int
    service: ServiceId = ServiceId("")
    checkpoint: str = ""
    run_seconds: float = 0.0
    priority: int = 0
    urgent: bool = False


class AttemptClosed(Record, frozen=True, tag="cls"):
    """The attempt surely does not run and never will."""

    task: TaskId
    attempt: AttemptNumber
    outcome: AttemptOutcome
    checkpoint: str
    ledger: int
    reason: str = ""


class ClosureAcknowledged(Record, frozen=True, tag="ack"):
    """The ledger has recorded the end of the attempt; the cell may forget it.

    Parameters
    ----------
    ledger : int
        The ledger partition that recorded it.
    ledger_epoch, sequence
        The fence: offers that the ledger sent before are void.
    """

    task: TaskId
    attempt: AttemptNumber
    ledger: int = 0
    ledger_epoch: Epoch = Epoch(0)
    sequence: int = 0


class TimeRecorded(Record, frozen=True, tag="time"):
    """The owner's wall clock, from which rows take the times they keep.

    Parameters
    ----------
    at : float
        Seconds since the Unix epoch.
    """

    at: float


class RowsPruned(Record, frozen=True, tag="prn"):
    """The ledger forgets tasks that ended, and keys made, before a time.

    Parameters
    ----------
    tasks_before, claims_before : float
        Seconds since the Unix epoch.
    """

    tasks_before: float
    claims_before: float


class SnapshotTaken(Record, frozen=True, tag="snap"):
    """One part of the state that a stream's records before ``covers`` built up.

    Parameters
    ----------
    state : bytes
        This part of the encoded state.
    covers : Offset
        The first offset that the state does not include.
    part, parts : int
        Which part this is, from 0, and how many there are.
    """

    state: bytes
    covers: Offset = Offset(0)
    part: int = 0
    parts: int = 1


AnyRecord = (
    ConfigurationPublished
    | OwnershipClaimed
    | OwnershipConfirmed
    | OwnershipReleased
    | PredecessorsEnded
    | TaskAccepted
    | TaskCancelled
    | TaskRejected
    | AttemptAssigned
    | AttemptEnded
    | RequestClaimed
    | RequestReleased
    | RequestSettled
    | WorkerJoined
    | WorkerLeft
    | AttemptPlaced
    | AttemptClosed
    | ClosureAcknowledged
    | TimeRecorded
    | RowsPruned
    | SnapshotTaken
)


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """The records of one append.

    Parameters
    ----------
    version : int
        ``RECORD_VERSION`` of the writer.
    writer : WriterId
        A process incarnation; never reused.
    sequence : Sequence
        Rises by one with each batch of the writer on this stream.
    epoch : Epoch
        The epoch of ownership the writer acts under; 0 for none.
    records : list of Record
        Applied in order.
    """

    version: int
    writer: WriterId
    sequence: Sequence
    epoch: Epoch
    records: list[AnyRecord]


class _Header(msgspec.Struct, array_like=True):
    version: int


_CHECKSUM = struct.Struct(">I")
_COMPRESS_FROM_BYTES = 1024
_PLAIN = b"\x00"
_COMPRESSED = b"\x01"
_encoder = msgspec.msgpack.Encoder()
_header_decoder = msgspec.msgpack.Decoder(_Header)
_batch_decoder = msgspec.msgpack.Decoder(Batch)


def encode_batch(batch: Batch) -> bytes:
    """Return the bytes of one log entry: CRC-32, packing, and the batch."""
    return frame_entry(_encoder.encode(batch))


def frame_entry(body: bytes) -> bytes:
    """Return ``body``, compressed if it is large, behind its checksum."""
    if len(body) < _COMPRESS_FROM_BYTES:
        packed = _PLAIN + body
    else:
        packed = _COMPRESSED + zlib.compress(body)
    return _CHECKSUM.pack(zlib.crc32(packed)) + packed


def measure_record(record: AnyRecord) -> int:
    """Return the bytes that a record adds to its batch."""
    return len(_encoder.encode(record))


def decode_batch(data: bytes) -> Batch:
    """Return the batch in one log entry.

    Raises
    ------
    CorruptRecordError
        If the bytes fail their checksum or are no batch.
    UnknownVersionError
        If a newer release wrote it.
    """
    body = _verify_checksum(data)
    try:
        version = _header_decoder.decode(body).version
        if version <= RECORD_VERSION:
            return _batch_decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise CorruptRecordError(
            f"not a batch of records: {error}", step="record.decode"
        ) from error
    raise UnknownVersionError(
        f"record version {version} is newer than {RECORD_VERSION}",
        step="record.decode",
    )


def _verify_checksum(data: bytes) -> bytes:
    if len(data) <= _CHECKSUM.size:
        raise CorruptRecordError(
            f"{len(data)} bytes are too few for a batch", step="record.decode"
        )
    (expected,) = _CHECKSUM.unpack_from(data)
    packed = data[_CHECKSUM.size :]
    found = zlib.crc32(packed)
    if found != expected:
        raise CorruptRecordError(
            f"checksum is {found:#x}, not {expected:#x}", step="record.decode"
        )
    return _decompress(packed)


def _decompress(packed: bytes) -> bytes:
    if not packed.startswith(_COMPRESSED):
        return packed[1:]
    try:
        return zlib.decompress(packed[1:])
    except zlib.error as error:
        raise CorruptRecordError(str(error), step="record.decode") from error

"""Records of the platform's log, and the encoding of the batches that hold them.

The state of every stream is rebuilt by replaying these records. Fields may only be
added at the end and with a default; any other change requires a new
``RECORD_VERSION``.
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
from .packing import DECODING_ERRORS
from .resources import Resources
from .states import AttemptOutcome, TaskClass

RECORD_VERSION = 1


class Record(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all records."""


class ConfigurationPublished(Record, frozen=True, tag="conf"):
    """A complete configuration, edited from the revision ``based_on``.

    Parameters
    ----------
    document : str
        The text as written by the operators, with comments.
    encoded : bytes
        The same configuration, validated by its publisher and encoded as plain
        JSON, which saves readers from parsing the text. If empty, they parse it.
    """

    document: str
    based_on: Revision
    operator: str
    encoded: bytes = b""


class OwnershipClaimed(Record, frozen=True, tag="own"):
    """A process takes ownership of the stream under the next epoch."""

    epoch: Epoch
    owner: ProcessId
    address: str


class OwnershipConfirmed(Record, frozen=True, tag="beat"):
    """Heartbeat by which the owner of an idle stream shows that it is alive."""

    epoch: Epoch


class OwnershipReleased(Record, frozen=True, tag="rel"):
    """The owner gives up the stream; a successor need not wait for it to expire."""

    epoch: Epoch


class PredecessorsEnded(Record, frozen=True, tag="pre"):
    """All earlier owners have certainly ended, so none of their messages can arrive."""

    epoch: Epoch


class TaskAccepted(Record, frozen=True, tag="acc"):
    """A batch job or service replica is entered in the ledger."""

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
    """The task is cancelled by a caller or no longer declared by the configuration."""

    task: TaskId


class TaskRejected(Record, frozen=True, tag="rej"):
    """The task can never run; its final state is failed, for ``reason``."""

    task: TaskId
    reason: str


class AttemptAssigned(Record, frozen=True, tag="asg"):
    """The ledger assigns an attempt to the cell of a failure domain."""

    task: TaskId
    attempt: AttemptNumber
    cell: DomainId


class AttemptEnded(Record, frozen=True, tag="end"):
    """The ledger records that a cell has closed an attempt.

    Parameters
    ----------
    crashed : bool
        Whether the attempt was lost because its worker restarted.
    """

    task: TaskId
    attempt: AttemptNumber
    outcome: AttemptOutcome
    checkpoint: str
    reason: str = ""
    worker: WorkerId = WorkerId("")
    crashed: bool = False


class RequestClaimed(Record, frozen=True, tag="clm"):
    """A gateway has the exclusive right to send a non-idempotent request.

    Parameters
    ----------
    key_at : float
        When the key was created, in seconds since the Unix epoch; 0 if unknown.
    """

    key: RequestKey
    request: RequestId
    gateway: ProcessId
    key_at: float = 0.0


class RequestReleased(Record, frozen=True, tag="unc"):
    """The gateway gives up its claim: the request has not run and will not be sent."""

    key: RequestKey
    request: RequestId


class RequestSettled(Record, frozen=True, tag="set"):
    """The claimed request ran and its response was received completely."""

    key: RequestKey
    request: RequestId


class WorkerJoined(Record, frozen=True, tag="wrk"):
    """A worker joined the cell of its failure domain."""

    worker: WorkerId
    address: str
    rack: RackId
    capacity: Resources


class WorkerLeft(Record, frozen=True, tag="wrl"):
    """A worker left the cell after all its attempts were closed."""

    worker: WorkerId


class AttemptPlaced(Record, frozen=True, tag="plc"):
    """The cell reserves a worker's resources for an attempt before it is started."""

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
    """The attempt is certainly not running and never will run again.

    Parameters
    ----------
    crashed : bool
        Whether the attempt was lost because its worker restarted.
    """

    task: TaskId
    attempt: AttemptNumber
    outcome: AttemptOutcome
    checkpoint: str
    ledger: int
    reason: str = ""
    crashed: bool = False


class ClosureAcknowledged(Record, frozen=True, tag="ack"):
    """The ledger has recorded the end of the attempt, so the cell may drop it.

    Parameters
    ----------
    ledger : int
        The ledger partition that recorded it.
    ledger_epoch, sequence
        The fence: offers that the ledger sent before this point are invalid.
    """

    task: TaskId
    attempt: AttemptNumber
    ledger: int = 0
    ledger_epoch: Epoch = Epoch(0)
    sequence: int = 0


class TimeRecorded(Record, frozen=True, tag="time"):
    """The owner's wall clock, which is the time of the records that follow.

    Replay must not read a clock, so rows take their times from this record.

    Parameters
    ----------
    at : float
        Seconds since the Unix epoch.
    """

    at: float


class RowsPruned(Record, frozen=True, tag="prn"):
    """The ledger discards old tasks and claims.

    Parameters
    ----------
    tasks_before, claims_before : float
        Limits on the end of tasks and on the creation of the keys of claims, in
        seconds since the Unix epoch; what is older is discarded.
    """

    tasks_before: float
    claims_before: float


class SnapshotTaken(Record, frozen=True, tag="snap"):
    """One part of a snapshot of a stream's state up to the offset ``covers``.

    Parameters
    ----------
    state : bytes
        This part of the encoded state.
    covers : Offset
        The first offset whose records the state does not include.
    part, parts : int
        Index of this part, from 0, and the number of parts.
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
    """The records that one append writes.

    Parameters
    ----------
    version : int
        ``RECORD_VERSION`` of the writer's release.
    writer : WriterId
        Identifies one incarnation of a process; never reused.
    sequence : Sequence
        Increases by one with each batch of the writer on this stream.
    epoch : Epoch
        The ownership epoch under which the writer acts; 0 if it is not an owner.
    records : list of Record
        The records, which are applied in order.
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
    """Encode a batch as a log entry: CRC-32, compression flag and body."""
    return frame_entry(_encoder.encode(batch))


def frame_entry(body: bytes) -> bytes:
    """Prefix a body with its checksum, compressing it first if it is large."""
    if len(body) < _COMPRESS_FROM_BYTES:
        packed = _PLAIN + body
    else:
        packed = _COMPRESSED + zlib.compress(body)
    return _CHECKSUM.pack(zlib.crc32(packed)) + packed


def measure_record(record: AnyRecord) -> int:
    """Return the encoded size of a record in bytes, before compression."""
    return len(_encoder.encode(record))


def decode_batch(data: bytes) -> Batch:
    """Decode the batch in a log entry.

    Raises
    ------
    CorruptRecordError
        If the checksum does not match or the body is not a valid batch.
    UnknownVersionError
        If the entry was written by a newer release.
    """
    body = _verify_checksum(data)
    try:
        version = _header_decoder.decode(body).version
        if version <= RECORD_VERSION:
            return _batch_decoder.decode(body)
    except DECODING_ERRORS as error:
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
    actual = zlib.crc32(packed)
    if actual != expected:
        raise CorruptRecordError(
            f"checksum is {actual:#x}, not {expected:#x}", step="record.decode"
        )
    return _decompress(packed)


def _decompress(packed: bytes) -> bytes:
    if not packed.startswith(_COMPRESSED):
        return packed[1:]
    try:
        return zlib.decompress(packed[1:])
    except zlib.error as error:
        raise CorruptRecordError(str(error), step="record.decode") from error

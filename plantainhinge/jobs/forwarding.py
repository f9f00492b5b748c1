"""What an instance asks of the owner, or of one that still reaches the log."""

import msgspec

from ..core.errors import CorruptRecordError
from ..core.ids import JobId, QueueName
from ..core.packing import decode_record
from .model import JobRecord, JobState
from .outcomes import CallOutcome

STEP = "passing.decode"


class PassedJob(msgspec.Struct, frozen=True, tag="job"):
    """Log a job that a caller handed in."""

    record: JobRecord

    @property
    def job(self) -> JobId:
        """Return the job's id."""
        return self.record.job


class PassedCancellation(msgspec.Struct, frozen=True, tag="cancellation"):
    """Log that a caller took a job back."""

    job: JobId


class PassedStateQuery(msgspec.Struct, frozen=True, tag="question"):
    """Tell a job's state."""

    job: JobId


class PassedCountQuery(msgspec.Struct, frozen=True, tag="count"):
    """Tell how many jobs of a queue have started nothing."""

    queue: QueueName


PassedCall = PassedJob | PassedCancellation | PassedStateQuery | PassedCountQuery
_CALL_DECODER: msgspec.msgpack.Decoder = msgspec.msgpack.Decoder(PassedCall)


class PassedResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """What became of a call.

    Parameters
    ----------
    state : JobState, optional
        The state that was asked for.
    count : int, optional
        The number that was asked for.
    """

    outcome: CallOutcome = msgspec.field(name="verdict")
    state: JobState | None = None
    count: int | None = None


def encode_call(call: PassedCall) -> bytes:
    """Return a call's bytes."""
    return msgspec.msgpack.encode(call)


def decode_call(body: bytes) -> PassedCall:
    """Return the call in a body.

    Raises
    ------
    CorruptRecordError
        If it isn't one.
    """
    try:
        call: PassedCall = _CALL_DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise CorruptRecordError(str(error), step=STEP) from error
    return call


def encode_response(response: PassedResponse) -> bytes:
    """Return the encoded response."""
    return msgspec.msgpack.encode(response)


def decode_response(body: bytes) -> PassedResponse:
    """Return the answer in a body.

    Raises
    ------
    CorruptRecordError
        If it isn't one.
    """
    return decode_record(body, PassedResponse, step=STEP)

"""Calls that an instance forwards to the owner or to one that can reach the log.

An instance without access to the log forwards submissions and cancellations, so that it
can still serve its callers. Queries and cancellations go to the owner first, which has
the most recent view of the jobs.
"""

import msgspec

from ..core.errors import CorruptRecordError
from ..core.ids import JobId, MemberName, QueueName, Revision, Seconds
from ..core.packing import DECODING_ERRORS, decode_record
from .model import Caller, JobRecord, JobState
from .outcomes import CallOutcome

DECODE_STEP = "passing.decode"


class PassedJob(msgspec.Struct, frozen=True, tag="job"):
    """Append a submitted job to the log."""

    record: JobRecord

    @property
    def job(self) -> JobId:
        """Id of the submitted job."""
        return self.record.job


class PassedCancellation(
    msgspec.Struct, frozen=True, tag="cancellation", omit_defaults=True
):
    """Append the cancellation of a job to the log.

    Parameters
    ----------
    caller : Caller, optional
        Who cancels it; None where all callers may see all jobs.
    """

    job: JobId
    caller: Caller | None = None


class PassedStateQuery(msgspec.Struct, frozen=True, tag="question", omit_defaults=True):
    """Query the state of a job.

    Parameters
    ----------
    caller : Caller, optional
        Who asks; None where all callers may see all jobs.
    """

    job: JobId
    caller: Caller | None = None


class PassedCountQuery(msgspec.Struct, frozen=True, tag="count"):
    """Query the number of jobs in a queue of which no task has started."""

    queue: QueueName


class PassedConfigurationQuery(msgspec.Struct, frozen=True, tag="configuration"):
    """Query for a configuration newer than a revision, from an instance without log."""

    revision: Revision


class PassedDeferral(msgspec.Struct, frozen=True, tag="deferral"):
    """Ask a member not to take the cell over for ``DEFERRAL_SECONDS``.

    Parameters
    ----------
    member : MemberName
        The owner, which asks while the log doesn't answer it.
    """

    member: MemberName


class PassedLoadQuery(msgspec.Struct, frozen=True, tag="load"):
    """Query to the owner for its newest admission digest."""


PassedJobCall = PassedJob | PassedCancellation | PassedStateQuery | PassedCountQuery
PassedCall = PassedJobCall | PassedConfigurationQuery | PassedLoadQuery | PassedDeferral
_CALL_DECODER: msgspec.msgpack.Decoder = msgspec.msgpack.Decoder(PassedCall)


class PassedResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Response to a forwarded call.

    Parameters
    ----------
    state : JobState, optional
        Result of a state query; None for other calls.
    count : int, optional
        Result of a count query; None for other calls.
    configuration : bytes
        Result of a configuration query: the encoded configuration; empty if there is
        none that is newer.
    age : float, optional
        Seconds since the log last confirmed the configuration, since the digest was
        measured, or, of a granted deferral, since the log last answered the member.
    digest : bytes
        Result of a load query: the encoded digest.
    """

    outcome: CallOutcome = msgspec.field(name="verdict")
    state: JobState | None = None
    count: int | None = None
    configuration: bytes = b""
    age: Seconds | None = None
    digest: bytes = b""


def encode_call(call: PassedCall) -> bytes:
    """Return the request body for a call."""
    return msgspec.msgpack.encode(call)


def decode_call(body: bytes) -> PassedCall:
    """Decode the call in a request body.

    Raises
    ------
    CorruptRecordError
        If the body is not an encoded call.
    """
    try:
        call: PassedCall = _CALL_DECODER.decode(body)
    except DECODING_ERRORS as error:
        raise CorruptRecordError(str(error), step=DECODE_STEP) from error
    return call


def encode_response(response: PassedResponse) -> bytes:
    """Return the body for a response."""
    return msgspec.msgpack.encode(response)


def decode_response(body: bytes) -> PassedResponse:
    """Decode the response in a body.

    Raises
    ------
    CorruptRecordError
        If the body is not an encoded response.
    """
    return decode_record(body, PassedResponse, step=DECODE_STEP)

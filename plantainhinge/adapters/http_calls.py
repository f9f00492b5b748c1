"""Typed JSON calls over the connection pool, with statuses mapped to errors."""

from typing import TypeVar

import msgspec

from ..core.errors import (
    BadInputError,
    RateLimitedError,
    TooLargeError,
    TrimmedError,
    UnavailableError,
    UncertainError,
)
from ..core.packing import DECODING_ERRORS
from .http_pool import HttpPool, HttpResponse

T = TypeVar("T")

CALL_TIMEOUT_SECONDS = 2.0
STATUS_OK = 200
STATUS_GONE = 410
STATUS_TOO_LARGE = 413
STATUS_TOO_MANY_REQUESTS = 429
STATUS_UNAVAILABLE = 503


class Problem(msgspec.Struct, kw_only=True):
    """The body of an error response; the fields are empty if it has another form.

    Parameters
    ----------
    first : int
        The oldest offset in the log, if the requested one has been trimmed.
    """

    code: str = ""
    detail: str = ""
    first: int = 0


def call(
    pool: HttpPool,
    address: str,
    method: str,
    path: str,
    *,
    step: str,
    response_type: type[T],
    body: object = None,
    timeout: float = CALL_TIMEOUT_SECONDS,
) -> T:
    """Send a request with a JSON body and return the decoded response.

    Raises
    ------
    UnavailableError, UncertainError, TrimmedError, BadInputError
        See ``check_status``; ``UncertainError`` also if the response can't be decoded
        as ``response_type``.
    """
    data = b"" if body is None else msgspec.json.encode(body)
    response = pool.exchange(
        address, method, path, step=step, timeout=timeout, body=data
    )
    check_status(response, step=step, peer=address)
    return decode(response.body, response_type, step=step, peer=address)


def decode(data: bytes, response_type: type[T], *, step: str, peer: str) -> T:
    """Decode a response body.

    Raises
    ------
    UncertainError
        If it can't be decoded: the call may still have taken effect.
    """
    try:
        return msgspec.json.decode(data, type=response_type)
    except DECODING_ERRORS as error:
        raise UncertainError(f"bad response: {error}", step=step, peer=peer) from error


def check_status(response: HttpResponse, *, step: str, peer: str) -> None:
    """Raise the error that corresponds to a status other than 200."""
    if response.status == STATUS_OK:
        return
    problem = _read_problem(response.body)
    detail = problem.detail or f"status {response.status}"
    if response.status == STATUS_GONE:
        raise TrimmedError(detail, step=step, peer=peer, first=problem.first)
    if response.status == STATUS_TOO_LARGE:
        raise TooLargeError(detail, step=step, peer=peer)
    wait = _read_retry_after(response)
    if response.status == STATUS_TOO_MANY_REQUESTS:
        raise RateLimitedError(detail, step=step, peer=peer, retry_after=wait)
    if response.status == STATUS_UNAVAILABLE:
        raise UnavailableError(detail, step=step, peer=peer, retry_after=wait)
    if response.status < 500:  # noqa: PLR2004
        raise BadInputError(detail, step=step, peer=peer)
    raise UncertainError(detail, step=step, peer=peer)


def _read_problem(body: bytes) -> Problem:
    try:
        return msgspec.json.decode(body, type=Problem)
    except DECODING_ERRORS:
        return Problem()


def _read_retry_after(response: HttpResponse) -> float:
    try:
        return float(response.headers.get("retry-after", "1"))
    except ValueError:
        return 1.0

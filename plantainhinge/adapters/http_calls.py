"""Typed JSON calls over the connection pool."""

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
from .http_pool import HttpPool, HttpResponse

T = TypeVar("T")

CALL_TIMEOUT_SECONDS = 2.0
STATUS_OK = 200
STATUS_GONE = 410
STATUS_TOO_LARGE = 413
STATUS_TOO_MANY = 429
STATUS_UNAVAILABLE = 503


class Problem(msgspec.Struct, kw_only=True):
    """What the other side says of a refused call."""

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
    """Exchange one message and return the typed answer.

    Raises
    ------
    UnavailableError, UncertainError, TrimmedError, BadInputError
        As ``check_status`` says; also if the answer is not of type ``answer``.
    """
    data = b"" if body is None else msgspec.json.encode(body)
    raw = pool.exchange(address, method, path, step=step, timeout=timeout, body=data)
    check_status(raw, step=step, peer=address)
    return decode(raw.body, response_type, step=step, peer=address)


def decode(data: bytes, response_type: type[T], *, step: str, peer: str) -> T:
    """Return the typed message in ``data``.

    Raises
    ------
    UncertainError
        If it is not such a message: the call may have taken effect.
    """
    try:
        return msgspec.json.decode(data, type=response_type)
    except msgspec.MsgspecError as error:
        raise UncertainError(f"bad answer: {error}", step=step, peer=peer) from error


def check_status(raw: HttpResponse, *, step: str, peer: str) -> None:
    """Raise the error that a status other than 200 stands for."""
    if raw.status == STATUS_OK:
        return
    problem = _read_problem(raw.body)
    detail = problem.detail or f"status {raw.status}"
    if raw.status == STATUS_GONE:
        raise TrimmedError(detail, step=step, peer=peer, first=problem.first)
    if raw.status == STATUS_TOO_LARGE:
        raise TooLargeError(detail, step=step, peer=peer)
    wait = _read_retry_after(raw)
    if raw.status == STATUS_TOO_MANY:
        raise RateLimitedError(detail, step=step, peer=peer, retry_after=wait)
    if raw.status == STATUS_UNAVAILABLE:
        raise UnavailableError(detail, step=step, peer=peer, retry_after=wait)
    if raw.status < 500:  # noqa: PLR2004
        raise BadInputError(detail, step=step, peer=peer)
    raise UncertainError(detail, step=step, peer=peer)


def _read_problem(body: bytes) -> Problem:
    try:
        return msgspec.json.decode(body, type=Problem)
    except msgspec.MsgspecError:
        return Problem()


def _read_retry_after(raw: HttpResponse) -> float:
    try:
        return float(raw.headers.get("retry-after", "1"))
    except ValueError:
        return 1.0

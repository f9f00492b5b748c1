"""WSGI application for callers: parses HTTP requests and encodes the responses."""

import itertools
import logging
import math
import re
import uuid
from collections.abc import Callable, Iterable
from typing import Annotated, Any, Protocol

import msgspec

from ..core.calls import CallerRequest, CallerResponse
from ..core.errors import BadInputError, PlantainhingeError
from ..core.ids import KindId, RequestId, RequestKey, TaskId
from ..core.messages import JobStatus
from ..core.packing import DECODING_ERRORS
from ..core.states import Outcome
from ..routing.responses import build_error_response

STATUS_LINES = {
    200: "200 OK",
    202: "202 Accepted",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    429: "429 Too Many Requests",
    500: "500 Internal Server Error",
    502: "502 Bad Gateway",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}

NAME_CHARACTERS_MAX = 128
RUN_SECONDS_MAX = 31_536_000  # one year
DEADLINE_MS_MAX = 86_400_000  # one day
DEADLINE_PATTERN = re.compile(r"[0-9]{1,9}")
PATH_PATTERN = re.compile(r"/[!-~]*")

logger = logging.getLogger(__name__)

# Ids need to be unique, not secret: a counter saves a system call per request.
_REQUEST_ID_PREFIX = uuid.uuid4().hex[:24]
_REQUEST_COUNTER = itertools.count()

StartResponse = Callable[..., Any]
Environ = dict[str, Any]


class JobRequest(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The body of ``POST /jobs``."""

    id: Annotated[TaskId, msgspec.Meta(min_length=1, max_length=NAME_CHARACTERS_MAX)]
    kind: KindId
    run_seconds: Annotated[float, msgspec.Meta(ge=0, le=RUN_SECONDS_MAX)] = 0.0


class Gateway(Protocol):
    """The methods of the gateway that the application calls."""

    def handle(self, request: CallerRequest) -> CallerResponse:
        """Route a request to a target and return the response for the caller."""

    def submit(self, job: JobRequest) -> JobStatus:
        """Submit a job and return its status."""

    def query(self, task: TaskId) -> JobStatus:
        """Return the status of a job."""

    def cancel(self, task: TaskId) -> JobStatus:
        """Cancel a job and return its status."""

    def is_ready(self) -> bool:
        """Return whether the load balancer may route requests here."""


class CallersApplication:
    """The WSGI application that waitress serves to callers."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one HTTP request; every error becomes a problem response."""
        try:
            response = self._route(environ)
        except PlantainhingeError as error:
            response = build_error_response(error)
        except Exception:
            logger.exception("request failed because of an internal error")
            response = _build_internal_error()
        return _send_response(response, start_response)

    def _route(self, environ: Environ) -> CallerResponse:
        path = environ["PATH_INFO"]
        if path == "/healthz":
            return CallerResponse(status=200, outcome=Outcome.DONE)
        if path == "/readyz":
            status = 200 if self._gateway.is_ready() else 503
            return CallerResponse(status=status, outcome=Outcome.DONE)
        if path == "/jobs" or path.startswith("/jobs/"):
            return self._route_job(environ, path.removeprefix("/jobs").strip("/"))
        return self._gateway.handle(_read_request(environ))

    def _route_job(self, environ: Environ, task: str) -> CallerResponse:
        method = environ["REQUEST_METHOD"]
        if method == "POST" and not task:
            return _build_job_response(202, self._gateway.submit(_read_job(environ)))
        if method == "GET" and task:
            return _build_job_response(200, self._gateway.query(TaskId(task)))
        if method == "DELETE" and task:
            return _build_job_response(200, self._gateway.cancel(TaskId(task)))
        raise BadInputError(
            f"{method} is not for this path; valid: POST /jobs, GET and DELETE "
            "/jobs/<id>",
            step="job.route",
        )


def _make_request_id() -> RequestId:
    return RequestId(f"{_REQUEST_ID_PREFIX}{next(_REQUEST_COUNTER):08x}")


def _read_request(environ: Environ) -> CallerRequest:
    kind = environ.get("HTTP_PLANTAINHINGE_KIND", "")
    if not kind:
        raise BadInputError("header Plantainhinge-Kind is missing", step="call.read")
    return CallerRequest(
        request=_make_request_id(),
        kind=KindId(kind),
        method=environ["REQUEST_METHOD"],
        path=_read_path(environ),
        body=environ["wsgi.input"].read(),
        content_type=environ.get("CONTENT_TYPE", ""),
        key=_read_key(environ),
        deadline_ms=_read_deadline(environ),
    )


def _read_path(environ: Environ) -> str:
    """Return path and query string as sent, still percent-encoded."""
    path = str(environ["REQUEST_URI"])
    if not PATH_PATTERN.fullmatch(path):
        raise BadInputError(
            f"{path[:NAME_CHARACTERS_MAX]!r} is no path; valid: starts with / and "
            "holds visible ASCII",
            step="call.read",
        )
    return path


def _read_key(environ: Environ) -> RequestKey | None:
    key = environ.get("HTTP_IDEMPOTENCY_KEY")
    if key is not None and not 0 < len(key) <= NAME_CHARACTERS_MAX:
        raise BadInputError(
            f"Idempotency-Key has {len(key)} characters; valid: 1 to "
            f"{NAME_CHARACTERS_MAX}",
            step="call.read",
        )
    return None if key is None else RequestKey(key)


def _read_deadline(environ: Environ) -> int | None:
    text = environ.get("HTTP_PLANTAINHINGE_DEADLINE_MS")
    if text is None:
        return None
    if not DEADLINE_PATTERN.fullmatch(text) or not 0 < int(text) <= DEADLINE_MS_MAX:
        raise BadInputError(
            f"Plantainhinge-Deadline-Ms is {text[:NAME_CHARACTERS_MAX]!r}; valid: a "
            f"whole number from 1 up to {DEADLINE_MS_MAX}",
            step="call.read",
        )
    return int(text)


def _read_job(environ: Environ) -> JobRequest:
    try:
        return msgspec.json.decode(environ["wsgi.input"].read(), type=JobRequest)
    except DECODING_ERRORS as error:
        raise BadInputError(str(error), step="job.read") from error


def _build_job_response(status: int, job: JobStatus) -> CallerResponse:
    body = msgspec.json.encode(job)
    return CallerResponse(status=status, outcome=Outcome.DONE, body=body)


def _build_internal_error() -> CallerResponse:
    return CallerResponse(
        status=500,
        outcome=Outcome.UNKNOWN,
        code=PlantainhingeError.code,
        step="request.run",
        detail="a fault of the gateway; the request may have run",
    )


def _send_response(
    response: CallerResponse, start_response: StartResponse
) -> list[bytes]:
    body = response.body
    content_type = response.content_type
    if response.code:
        body = msgspec.json.encode(_build_problem(response))
        content_type = "application/problem+json"
    headers = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(body))),
        ("Plantainhinge-Outcome", response.outcome.value),
    ]
    if response.retry_after is not None:
        headers.append(("Retry-After", str(math.ceil(response.retry_after))))
    status = STATUS_LINES.get(response.status, f"{response.status} Answered")
    start_response(status, headers)
    return [body]


class _Problem(msgspec.Struct, kw_only=True):
    title: str
    status: int
    detail: str
    code: str
    step: str
    peer: str


def _build_problem(response: CallerResponse) -> _Problem:
    return _Problem(
        title=response.outcome.value,
        status=response.status,
        detail=response.detail,
        code=response.code,
        step=response.step,
        peer=response.peer,
    )

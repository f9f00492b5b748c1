"""Stand-in for the platform's append-only log service.

The service itself is ``POST`` and ``GET /streams/<name>``. Tests inject faults with
``PUT /faults`` (a list of ``FaultRule``), set limits with ``PUT /limits``
(``LogLimits``) and trim a stream with ``PUT /trim/<name>?first=<offset>``.
"""

import time
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

import msgspec

from plantainhinge.adapters.log_http import AppendResult
from plantainhinge.adapters.log_memory import MemoryLog
from plantainhinge.core.clock import read_monotonic
from plantainhinge.core.errors import (
    BadInputError,
    PlantainhingeError,
    RateLimitedError,
    TrimmedError,
    UnavailableError,
    UncertainError,
)
from plantainhinge.core.ids import Offset, StreamName
from plantainhinge.core.messages import Empty

from .log_faults import FaultRule, FaultyLog, LogLimits
from .wsgi import Environ, Problem, respond

STREAMS = "/streams/"
TRIM = "/trim/"

StartResponse = Callable[..., Any]


class LogApplication:
    """WSGI application that serves a log with injected faults."""

    def __init__(self, log: MemoryLog) -> None:
        self.log = FaultyLog(log, clock=read_monotonic, sleep=time.sleep)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one HTTP request."""
        try:
            body = self._handle_call(environ)
        except UncertainError:
            return _truncate_response(start_response)
        except PlantainhingeError as error:
            return _respond_error(start_response, error)
        return respond(start_response, body)

    def _handle_call(self, environ: Environ) -> object:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if method == "PUT":
            return self._handle_control(environ)
        stream = StreamName(path.removeprefix(STREAMS))
        if method == "POST":
            return AppendResult(self.log.append(stream, environ["wsgi.input"].read()))
        query = parse_qs(environ["QUERY_STRING"])
        start = Offset(int(query["start"][0]))
        return self.log.read(stream, start, int(query["max_bytes"][0]))

    def _handle_control(self, environ: Environ) -> Empty:
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        if path == "/faults":
            self.log.faults = msgspec.json.decode(body, type=list[FaultRule])
        elif path == "/limits":
            self.log.limits = msgspec.json.decode(body, type=LogLimits)
        elif path.startswith(TRIM):
            first = int(parse_qs(environ["QUERY_STRING"])["first"][0])
            self.log.log.trim(StreamName(path.removeprefix(TRIM)), Offset(first))
        else:
            raise BadInputError(f"no control at {path!r}", step="log.control")
        return Empty()


def _respond_error(
    start_response: StartResponse, error: PlantainhingeError
) -> list[bytes]:
    problem = Problem(code=error.code, detail=error.message)
    headers: list[tuple[str, str]] = []
    status = 400
    if isinstance(error, TrimmedError):
        problem.first = error.first
        status = 410
    elif isinstance(error, UnavailableError):
        headers = [("Retry-After", f"{error.retry_after:.3f}")]
        status = 429 if isinstance(error, RateLimitedError) else 503
    elif error.code == "too-large":
        status = 413
    return respond(start_response, problem, status=status, headers=headers)


def _truncate_response(start_response: StartResponse) -> list[bytes]:
    """Send less than the announced length, so that the response counts as lost."""
    start_response("200 OK", [("Content-Length", "1000")])
    return [b"{"]

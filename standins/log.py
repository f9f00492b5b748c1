"""A stand-in for the platform's append-only log service."""

from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

from plantainhinge.adapters.log_http import Appended
from plantainhinge.adapters.log_memory import MemoryLog
from plantainhinge.core.errors import TrimmedError
from plantainhinge.core.ids import Offset, StreamName

from .wsgi import Environ, Problem, respond


class LogApplication:
    """``POST`` and ``GET /streams/<name>``."""

    def __init__(self, log: MemoryLog) -> None:
        self.log = log

    def __call__(
        self, environ: Environ, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one HTTP request."""
        stream = StreamName(environ["PATH_INFO"].removeprefix("/streams/"))
        if environ["REQUEST_METHOD"] == "POST":
            offset = self.log.append(stream, environ["wsgi.input"].read())
            return respond(start_response, Appended(offset))
        query = parse_qs(environ["QUERY_STRING"])
        start = Offset(int(query["start"][0]))
        try:
            page = self.log.read(stream, start, int(query["max_bytes"][0]))
        except TrimmedError as error:
            problem = Problem(code="trimmed", detail=error.message, first=error.first)
            return respond(start_response, problem, status=410)
        return respond(start_response, page)

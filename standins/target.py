"""A stand-in for a target: answers requests after a service time.

A caller asks for a longer one by ``?service_ms=`` in the path.
"""

import threading
import time
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

import msgspec

from .witness import Witness
from .wsgi import Environ, respond

SERVICE_SECONDS = 0.002
SERVICE_SECONDS_MAX = 10.0
MILLISECONDS = 1000


class Executed(msgspec.Struct, kw_only=True):
    """What a target says of a request it ran."""

    request: str
    path: str
    target: str


class TargetApplication:
    """Runs any request and keeps the ids of those it ran."""

    def __init__(
        self, name: str, *, slots: int = 8, witness: Witness | None = None
    ) -> None:
        self.name = name
        self._witness = witness or Witness("")
        self.executed: list[str] = []
        self._slots = threading.BoundedSemaphore(slots)
        self._in_flight = 0
        self._lock = threading.Lock()

    def __call__(
        self, environ: Environ, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one HTTP request."""
        request = environ.get("HTTP_PLANTAINHINGE_REQUEST_ID", "")
        with self._lock:
            self._in_flight += 1
        with self._slots:
            time.sleep(_read_service_time(environ))
            with self._lock:
                self.executed.append(request)
            self._witness.note_request(
                request, environ["REQUEST_METHOD"], environ["PATH_INFO"], self.name
            )
        with self._lock:
            self._in_flight -= 1
            in_flight = self._in_flight
        body = Executed(request=request, path=environ["PATH_INFO"], target=self.name)
        headers = [
            ("Plantainhinge-Request-Id", request),
            ("Plantainhinge-In-Flight", str(in_flight)),
        ]
        return respond(start_response, body, headers=headers)


def _read_service_time(environ: Environ) -> float:
    values = parse_qs(environ.get("QUERY_STRING", "")).get("service_ms")
    if not values:
        return SERVICE_SECONDS
    return min(SERVICE_SECONDS_MAX, int(values[0]) / MILLISECONDS)

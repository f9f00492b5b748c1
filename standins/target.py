"""A stand-in for a target: answers requests after a fixed service time."""

import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from .wsgi import Environ, respond

SERVICE_SECONDS = 0.002


class Executed(msgspec.Struct, kw_only=True):
    """What a target says of a request it ran."""

    request: str
    path: str
    target: str


class TargetApplication:
    """Runs any request and keeps the ids of those it ran."""

    def __init__(self, name: str, *, slots: int = 8) -> None:
        self.name = name
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
            time.sleep(SERVICE_SECONDS)
            with self._lock:
                self.executed.append(request)
        with self._lock:
            self._in_flight -= 1
            in_flight = self._in_flight
        body = Executed(request=request, path=environ["PATH_INFO"], target=self.name)
        headers = [
            ("Plantainhinge-Request-Id", request),
            ("Plantainhinge-In-Flight", str(in_flight)),
        ]
        return respond(start_response, body, headers=headers)

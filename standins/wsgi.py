"""JSON responses and a waitress server, shared by the stand-ins."""

import threading
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager, suppress
from typing import Any

import msgspec
from waitress.server import create_server
from waitress.wasyncore import close_all

Environ = dict[str, Any]
Application = Callable[[Environ, Callable[..., Any]], Iterable[bytes]]

STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    410: "410 Gone",
    413: "413 Content Too Large",
    429: "429 Too Many Requests",
    503: "503 Service Unavailable",
}


class Problem(msgspec.Struct, kw_only=True):
    """Body of an error response.

    Parameters
    ----------
    first : int
        First offset of a trimmed stream.
    """

    code: str
    detail: str
    first: int = 0


def respond(
    start_response: Callable[..., Any],
    body: object,
    *,
    status: int = 200,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Start a response with a JSON body and return the body."""
    data = msgspec.json.encode(body)
    start_response(
        STATUS_LINES[status],
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
            *headers,
        ],
    )
    return [data]


@contextmanager
def serve(application: Application, ip: str, port: int, threads: int) -> Iterator[int]:
    """Serve an application until the block ends; yield the port it listens on."""
    server = create_server(application, host=ip, port=port, threads=threads)
    thread = threading.Thread(target=server.run, daemon=True)
    thread.start()
    try:
        yield int(server.effective_port)
    finally:
        # After an earlier trigger the loop may already have closed the pipe.
        with suppress(OSError):
            server.trigger.pull_trigger(lambda: close_all(server._map, ignore_all=True))
        thread.join(timeout=2.0)

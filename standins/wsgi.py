"""What the stand-ins share: JSON answers over waitress."""

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
    """The body of a refused call."""

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
    """Answer with a JSON body."""
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
    """Serve an application until the block ends; give the port it listens on."""
    server = create_server(application, host=ip, port=port, threads=threads)
    thread = threading.Thread(target=server.run, daemon=True)
    thread.start()
    try:
        yield int(server.effective_port)
    finally:
        # An earlier pull may make the loop close the pipe before this one writes.
        with suppress(OSError):
            server.trigger.pull_trigger(lambda: close_all(server._map, ignore_all=True))
        thread.join(timeout=2.0)

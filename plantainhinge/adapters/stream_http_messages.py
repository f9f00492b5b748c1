"""Requests and replies of the asyncio HTTP/1.1 server."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

REASONS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    410: "Gone",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpReply:
    """A response to send."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    def encode(self, *, keep_alive: bool) -> bytes:
        """Return the response as bytes."""
        reason = REASONS.get(self.status, "Status")
        lines = [f"HTTP/1.1 {self.status} {reason}"]
        lines.extend(f"{name}: {value}" for name, value in self.headers)
        lines.append(f"Content-Length: {len(self.body)}")
        if not keep_alive:
            lines.append("Connection: close")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + self.body


Handler = Callable[[HttpRequest], Awaitable[HttpReply]]

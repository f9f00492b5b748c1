"""Reads HTTP/1.1 requests from the bytes of a connection, within limits."""

from collections.abc import Callable

import httptools

from .stream_http_limits import RejectionCause, RequestRejectedError
from .stream_http_messages import HttpRequest

HEADER_BYTES_MAX = 16384
HEADERS_MAX = 100
# memory that a request and each of its headers take up beside their bytes
REQUEST_OVERHEAD_BYTES = 1024
HEADER_OVERHEAD_BYTES = 256
# of empty lines, a head, a chunk's size with its extension, or a trailer
FRAMING_BYTES_MAX = HEADER_BYTES_MAX
# fed to the parser at once, so that what it keeps for itself can be counted
PIECE_BYTES = 4096
# of these, no value is picked if there are several
UNIQUE_HEADERS = frozenset({"authorization"})


class RequestReader:
    """Reads the requests of one connection; the ``on_`` methods are for the parser.

    Parameters
    ----------
    take : callable
        Takes a complete request, its size in memory, and whether the connection stays
        open after it. May raise ``RequestRejectedError``.
    get_body_bytes_max : callable
        Returns the size of the largest body that is read.

    Attributes
    ----------
    receiving : bool
        Whether a request has begun that isn't complete.
    """

    def __init__(
        self,
        take: Callable[[HttpRequest, int, bool], None],
        get_body_bytes_max: Callable[[], int],
    ) -> None:
        self.receiving = False
        self._take = take
        self._get_body_bytes_max = get_body_bytes_max
        self._framing_bytes = 0
        self._progressed = False
        self._parser = httptools.HttpRequestParser(self)
        self._reset()

    @property
    def held_bytes(self) -> int:
        """Memory that the request that is being received takes up."""
        return self._measure() if self.receiving or self._framing_bytes else 0

    def abandon(self) -> None:
        """Let go of the request that is being received; nothing may be fed after it."""
        self.receiving = False
        self._framing_bytes = 0
        self._reset()

    def feed(self, data: bytes) -> None:
        """Read the next bytes.

        Raises
        ------
        RequestRejectedError
            If they are no request or over a limit; nothing may be fed after that.
        """
        for start in range(0, len(data), PIECE_BYTES):
            self._feed_piece(data[start : start + PIECE_BYTES])

    def _feed_piece(self, piece: bytes) -> None:
        self._progressed = False
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade as error:
            # the request itself was handed over; what follows is for another protocol
            raise RequestRejectedError(
                RejectionCause.MALFORMED, "no other protocol is spoken"
            ) from error
        except httptools.HttpParserError as error:
            # the parser raises an error of its own if a callback raised one
            if isinstance(error.__context__, RequestRejectedError):
                raise error.__context__ from None
            raise RequestRejectedError(RejectionCause.MALFORMED, str(error)) from None
        self._framing_bytes = (
            0 if self._progressed else self._framing_bytes + len(piece)
        )
        if self._framing_bytes > FRAMING_BYTES_MAX:
            raise RequestRejectedError(
                RejectionCause.HEAD_TOO_LARGE, f"framing over {FRAMING_BYTES_MAX} bytes"
            )

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.receiving = True
        self._reset()

    def on_url(self, url: bytes) -> None:
        """Keep a part of the URL."""
        self._url += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._count_header(len(name) + len(value))
        self._header_lines += 1
        if self._header_lines > HEADERS_MAX:
            raise RequestRejectedError(
                RejectionCause.HEAD_TOO_LARGE, f"over {HEADERS_MAX} headers"
            )
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        if key in UNIQUE_HEADERS and key in self._headers:
            text = f"{self._headers[key]}, {text}"
        self._headers[key] = text

    def on_headers_complete(self) -> None:
        """Reject a body that is announced as too large before any of it is read."""
        self._progressed = True
        self._body_bytes_max = self._get_body_bytes_max()
        self._check_body(int(self._headers.get("content-length", 0)))

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self._progressed = True
        self._check_body(len(self._body) + len(body))
        self._body += body

    def on_message_complete(self) -> None:
        """Hand over the request."""
        self._progressed = True
        self.receiving = False
        request = HttpRequest(
            self._parser.get_method().decode(),
            self._url.decode("latin-1"),
            self._headers,
            bytes(self._body),
        )
        size = self._measure()
        self._reset()
        keep_alive = self._parser.should_keep_alive()
        self._take(request, size, keep_alive and not self._parser.should_upgrade())

    def _measure(self) -> int:
        return (
            REQUEST_OVERHEAD_BYTES
            + self._header_lines * HEADER_OVERHEAD_BYTES
            + self._header_bytes
            + self._framing_bytes
            + len(self._body)
        )

    def _reset(self) -> None:
        self._url = b""
        self._headers: dict[str, str] = {}
        self._header_bytes = 0
        self._header_lines = 0
        # not a list: an object for each of many small chunks takes far more than them
        self._body = bytearray()
        self._body_bytes_max = 0

    def _check_body(self, size: int) -> None:
        if size > self._body_bytes_max:
            raise RequestRejectedError(
                RejectionCause.BODY_TOO_LARGE, f"body over {self._body_bytes_max} bytes"
            )

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > HEADER_BYTES_MAX:
            raise RequestRejectedError(
                RejectionCause.HEAD_TOO_LARGE, f"headers over {HEADER_BYTES_MAX} bytes"
            )

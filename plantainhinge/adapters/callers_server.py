"""HTTP server for callers: waitress with a graceful shutdown.

While draining, the server keeps accepting connections for the linger period and
sends ``Connection: close`` with every response. Then it stops accepting, finishes
the requests in flight and closes the remaining connections, so that a planned stop
interrupts no request.
"""

import resource
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import Any

from waitress import wasyncore
from waitress.server import TcpWSGIServer

from ..core.clock import read_monotonic
from ..core.settings import Callers
from .callers_channel import CallersChannel, is_readable
from .listeners import drop_syn_segments
from .stream_http_limits import ReceiveBudget

IDENT = "plantainhinge"
POLL_SECONDS = 0.02
# for TCP handshakes that began before SYN segments are dropped
HANDSHAKE_SECONDS = 0.1
JOIN_TIMEOUT_SECONDS = 5.0
# without progress, after which a client counts as one that doesn't read
STALLED_SECONDS = 2.0
# interval at which idle connections are closed
CLEANUP_SECONDS = 30
# share of the system's limit of open files that callers' connections may take
FILES_RATIO = 0.5


class CallersServer(TcpWSGIServer):
    """A waitress server that can be drained; ``application`` is any WSGI callable."""

    channel_class = CallersChannel

    def __init__(
        self, application: Callable[..., Any], host: str, port: int, limits: Callers
    ) -> None:
        self.draining = False
        self._limits = limits
        self.budget = ReceiveBudget(limits.received_bytes)
        self._connections_max = min(
            limits.connections,
            int(FILES_RATIO * resource.getrlimit(resource.RLIMIT_NOFILE)[0]),
        )
        super().__init__(
            application,
            map={},
            host=host,
            port=port,
            threads=limits.threads,
            connection_limit=sys.maxsize,  # see readable
            max_request_body_size=limits.body_bytes,
            max_request_header_size=limits.header_bytes,
            channel_timeout=limits.idle_seconds,
            cleanup_interval=min(CLEANUP_SECONDS, limits.idle_seconds),
            # all stays in memory, which is bounded: there may be no disk, and a
            # file for each would take descriptors from the others
            inbuf_overflow=limits.body_bytes + 1,
            outbuf_overflow=limits.unread_bytes + 1,
            ident=IDENT,
            asyncore_use_poll=True,
        )

    def readable(self) -> bool:
        """Return whether to accept a connection now; called before each poll."""
        self._bound_unread_answers()
        is_listening: bool = super().readable()
        has_room = len(self.active_channels) < self._connections_max
        return is_listening and (has_room or self._find_longest_waiting() is not None)

    def handle_accept(self) -> None:
        """Accept a connection.

        At the limit, the one that has waited longest for its client is closed for it,
        so that those that nobody uses keep no one out.
        """
        if len(self.active_channels) >= self._connections_max:
            longest = self._find_longest_waiting()
            if longest is not None:
                longest.make_way()
        super().handle_accept()

    def maintenance(self, now: float) -> None:
        """Close idle connections, also those whose client reads no answers.

        Such a client may keep a thread waiting, so that it isn't enough to close those
        without a request.
        """
        super().maintenance(now)
        cutoff = now - self._limits.idle_seconds
        for channel in list(self.active_channels.values()):
            if channel.total_outbufs_len and channel.last_activity < cutoff:
                channel.make_way()

    def _bound_unread_answers(self) -> None:
        """Close clients that read nothing while there are too many unread answers."""
        channels = self.active_channels.values()
        excess = sum(c.total_outbufs_len for c in channels) - self._limits.unread_bytes
        if excess <= 0:
            return
        cutoff = time.time() - STALLED_SECONDS
        stalled = [c for c in channels if c.last_activity < cutoff]
        for channel in sorted(stalled, key=lambda c: -c.total_outbufs_len):
            if excess <= 0:
                return
            excess -= channel.total_outbufs_len
            channel.make_way()

    def _find_longest_waiting(self) -> CallersChannel | None:
        waiting = [c for c in self.active_channels.values() if c.is_waiting()]
        return min(waiting, key=lambda channel: channel.waiting_since, default=None)

    def drain(self) -> None:
        """Linger, stop accepting, then wait for the requests in flight.

        Requests that take longer than the drain period are left to ``stop``.
        """
        self.draining = True
        time.sleep(self._limits.linger_seconds)
        if self.socket is not None:
            drop_syn_segments(self.socket)
            time.sleep(HANDSHAKE_SECONDS)
            self.trigger.pull_trigger(self._stop_accepting)
        deadline = read_monotonic() + self._limits.drain_seconds
        while self.active_channels and read_monotonic() < deadline:
            self.trigger.pull_trigger(self._close_idle)
            time.sleep(POLL_SECONDS)

    def stop(self) -> None:
        """Close all remaining connections, so that ``run`` returns."""
        # An earlier pull may have made the loop close the trigger's pipe already.
        with suppress(OSError):
            self.trigger.pull_trigger(lambda: wasyncore.close_all(self._map))

    def _stop_accepting(self) -> None:
        while is_readable(self.socket):
            self.handle_accept()
        # Closes the listener only: the server's own method also closes the trigger.
        wasyncore.dispatcher.close(self)

    def _close_idle(self) -> None:
        for channel in list(self.active_channels.values()):
            if channel.is_idle():
                channel.handle_close()


@contextmanager
def serve_callers(
    application: Callable[..., Any], host: str, port: int, limits: Callers
) -> Iterator[CallersServer]:
    """Serve until the block ends, then drain and stop the server."""
    server = CallersServer(application, host, port, limits)
    thread = threading.Thread(target=server.run, name="callers")
    thread.start()
    try:
        yield server
    finally:
        server.drain()
        server.stop()
        thread.join(JOIN_TIMEOUT_SECONDS)
        server.task_dispatcher.shutdown()

"""The callers' server: waitress with a planned stop that cuts nobody off.

While it drains, the server goes on accepting until told to stop, tells every
caller to close its connection, answers all that is in flight and only then
closes what is left.
"""

import select
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import Any

from waitress import wasyncore
from waitress.channel import HTTPChannel
from waitress.server import TcpWSGIServer
from waitress.task import ErrorTask, WSGITask

from ..core.clock import read_monotonic
from ..core.settings import Callers
from .listeners import drop_syn_segments

IDENT = "plantainhinge"
POLL_SECONDS = 0.02
OPENING_SECONDS = 0.1
QUIET_SECONDS = 0.5
JOIN_SECONDS = 5.0


class _Task(WSGITask):
    def build_response_header(self) -> Any:
        if self.channel.server.draining:
            self.set_close_on_finish()
        return super().build_response_header()


class _ErrorTask(ErrorTask):
    def build_response_header(self) -> Any:
        if self.channel.server.draining:
            self.set_close_on_finish()
        return super().build_response_header()


class _Channel(HTTPChannel):
    task_class = _Task
    error_task_class = _ErrorTask

    def is_idle(self) -> bool:
        """Return whether nothing is under way, and nothing was for a while.

        A connection that was only just made or answered may have a request on
        its way.
        """
        if time.time() < self.last_activity + QUIET_SECONDS:
            return False
        with self.requests_lock:
            busy = self.requests or self.request is not None
        return not (busy or self.total_outbufs_len or _is_readable(self.socket))


class CallersServer(TcpWSGIServer):
    """A waitress server with a drain; ``application`` is any WSGI callable."""

    channel_class = _Channel

    def __init__(
        self, application: Callable[..., Any], host: str, port: int, bounds: Callers
    ) -> None:
        self.draining = False
        self._limits = bounds
        super().__init__(
            application,
            map={},
            host=host,
            port=port,
            threads=bounds.threads,
            connection_limit=bounds.connections,
            max_request_body_size=bounds.body_bytes,
            max_request_header_size=bounds.header_bytes,
            channel_timeout=bounds.idle_seconds,
            ident=IDENT,
            asyncore_use_poll=True,
        )

    def drain(self) -> None:
        """Stop in order: linger, accept no more, answer what is in flight."""
        self.draining = True
        time.sleep(self._limits.linger_seconds)
        if self.socket is not None:
            drop_syn_segments(self.socket)
            time.sleep(OPENING_SECONDS)
            self.trigger.pull_trigger(self._stop_accepting)
        deadline = read_monotonic() + self._limits.drain_seconds
        while self.active_channels and read_monotonic() < deadline:
            self.trigger.pull_trigger(self._close_idle)
            time.sleep(POLL_SECONDS)

    def stop(self) -> None:
        """Close everything that is left; ``run`` returns."""
        # An earlier pull may make the loop close the trigger's pipe before this
        # one writes to it.
        with suppress(OSError):
            self.trigger.pull_trigger(lambda: wasyncore.close_all(self._map))

    def _stop_accepting(self) -> None:
        while _is_readable(self.socket):
            self.handle_accept()
        wasyncore.dispatcher.close(self)

    def _close_idle(self) -> None:
        for channel in list(self.active_channels.values()):
            if channel.is_idle():
                channel.handle_close()


@contextmanager
def serve_callers(
    application: Callable[..., Any], host: str, port: int, bounds: Callers
) -> Iterator[CallersServer]:
    """Serve until the block ends, then drain and close."""
    server = CallersServer(application, host, port, bounds)
    thread = threading.Thread(target=server.run, name="callers")
    thread.start()
    try:
        yield server
    finally:
        server.drain()
        server.stop()
        thread.join(JOIN_SECONDS)
        server.task_dispatcher.shutdown()


def _is_readable(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))

"""Signals that an instance handles."""

import asyncio
import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager


@contextmanager
def handle_reload_signals(reload: Callable[[], None]) -> Iterator[None]:
    """Call ``reload`` in the running event loop on each SIGHUP, and ignore it after.

    The event loop's own handler would restore the default action when the loop closes,
    and a SIGHUP during the rest of the exit would end the process with an error.
    """
    loop = asyncio.get_running_loop()
    signal.signal(signal.SIGHUP, lambda *_: loop.call_soon_threadsafe(reload))
    try:
        yield
    finally:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)

"""What the stand-ins take over from a process supervisor."""

import asyncio
import os
import signal
from collections.abc import Iterator
from contextlib import contextmanager, suppress


@contextmanager
def ignore_reload_signals() -> Iterator[None]:
    """Let processes that are started in the block ignore SIGHUP from the first moment.

    An ignored signal stays ignored in a new program until the program handles it. By
    default SIGHUP would end a process that has not run its first line yet.
    """
    previous = signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        yield
    finally:
        signal.signal(signal.SIGHUP, previous)


def send_signal(process: asyncio.subprocess.Process, number: signal.Signals) -> None:
    """Send a signal to a process unless it has ended.

    The methods of ``asyncio.subprocess.Process`` poll the child first. If it has just
    ended, that reaps it before the event loop does, and its exit code is lost.
    """
    if process.returncode is None:
        with suppress(ProcessLookupError):
            os.kill(process.pid, number)

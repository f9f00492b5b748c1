"""What the stand-ins take over from a process supervisor."""

import signal
from collections.abc import Iterator
from contextlib import contextmanager


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

"""A reload signal is handled while the event loop runs and ignored afterwards."""

import asyncio
import os
import signal
from contextlib import contextmanager

from plantainhinge.daemons.signals import handle_reload_signals


@contextmanager
def keep_handler():
    previous = signal.getsignal(signal.SIGHUP)
    try:
        yield
    finally:
        signal.signal(signal.SIGHUP, previous)


def test_a_reload_signal_calls_the_handler_in_the_event_loop():
    async def run():
        reloaded = asyncio.Event()
        with handle_reload_signals(reloaded.set):
            os.kill(os.getpid(), signal.SIGHUP)
            await asyncio.wait_for(reloaded.wait(), 5.0)

    with keep_handler():
        asyncio.run(run())


def test_a_reload_signal_after_the_event_loop_has_closed_is_ignored():
    async def run():
        with handle_reload_signals(lambda: None):
            pass

    with keep_handler():
        asyncio.run(run())
        assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
        os.kill(os.getpid(), signal.SIGHUP)

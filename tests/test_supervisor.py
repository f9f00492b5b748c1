"""Signals to processes of the event loop leave their exit codes to it."""

import asyncio
import signal
import sys

import pytest

from standins.supervisor import send_signal

pytestmark = pytest.mark.processes

EXIT_CODE = 7


def test_a_signal_to_an_ended_process_leaves_its_exit_code_to_the_event_loop():
    async def scenario():
        losses = 0
        for _ in range(20):
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-S", "-c", f"raise SystemExit({EXIT_CODE})"
            )
            while process.returncode is None:
                send_signal(process, signal.SIGCONT)
                await asyncio.sleep(0)
            losses += process.returncode != EXIT_CODE
        return losses

    assert asyncio.run(scenario()) == 0

"""Tests of what the owner takes as a confirmation by the log."""

import asyncio

import pytest

from plantainhinge.core.ids import Epoch
from plantainhinge.daemons import confirmation as confirmation_module
from plantainhinge.daemons.confirmation import Confirmation
from plantainhinge.daemons.progress_log import ProgressLog
from plantainhinge.fleet.protocols import Entry

from .keyed_log import MemoryKeyedLog


class Clocks:
    """Clocks of a system that may be suspended."""

    def __init__(self, monkeypatch):
        self.monotonic = self.uptime = 100.0
        for name in ("monotonic", "uptime"):
            monkeypatch.setattr(
                confirmation_module,
                f"read_{name}",
                lambda name=name: getattr(self, name),
            )

    def advance(self, seconds):
        self.monotonic += seconds
        self.uptime += seconds

    def suspend(self, seconds):
        self.uptime += seconds


@pytest.fixture
def clocks(monkeypatch):
    return Clocks(monkeypatch)


async def confirm():
    return True


async def ask_nobody(confirmed_at):
    return float("-inf")


def test_a_confirmation_counts_from_when_it_was_asked_for(clocks):
    async def answer_slowly():
        clocks.advance(0.7)
        return True

    confirmation = Confirmation(answer_slowly, ask_nobody)
    asyncio.run(confirmation.request())
    assert confirmation.read() == 100.0


def test_a_suspension_makes_a_confirmation_older(clocks):
    confirmation = Confirmation(confirm, ask_nobody)
    asyncio.run(confirmation.request())
    clocks.suspend(20.0)
    clocks.advance(0.1)
    assert confirmation.measure_age() == pytest.approx(20.1)
    assert confirmation.read() == pytest.approx(clocks.monotonic - 20.1)


def test_an_answer_that_names_another_owner_confirms_nothing(clocks):
    async def deny():
        return False

    confirmation = Confirmation(deny, ask_nobody)
    asyncio.run(confirmation.request())
    assert confirmation.measure_age() == float("inf")


def test_an_append_accepted_when_repeated_counts_from_its_first_try(monkeypatch):
    async def scenario():
        log, confirmed = MemoryKeyedLog(), []
        progress = ProgressLog(log, confirmed.append)
        await progress.begin_epoch(Epoch(1))
        log.append_faults = ["lose", "refuse"]
        before = confirmation_module.read_uptime()
        await progress.write([Entry("p", b"x")], is_owner=lambda: True)
        return confirmed[-1] - before

    monkeypatch.setattr("plantainhinge.daemons.progress_log.RETRY_SECONDS", 0.1)
    assert asyncio.run(scenario()) == pytest.approx(0.0, abs=0.05)

"""Tests of the loops that renew workers' leases."""

import asyncio

import pytest

from plantainhinge.core.clock import read_monotonic
from plantainhinge.core.ids import Epoch
from plantainhinge.daemons.renewals import Renewals
from plantainhinge.dispatch.cell import Cell
from plantainhinge.fleet.model import OrderOutcome, OrderResponse

from .simulated_cell import TERMS, make_entry


class RecordedCalls:
    """Workers that don't answer; keeps the renewals."""

    def __init__(self):
        self.renewals = []

    async def renew(self, entry, renewal):
        self.renewals.append(renewal)
        return OrderResponse(outcome=OrderOutcome.UNKNOWN)


# a process that was suspended renewed leases before its first round of decisions
@pytest.mark.parametrize(("age", "is_granted"), [(0.1, True), (20.0, False)])
def test_a_lease_is_renewed_only_as_far_as_the_newest_confirmation_allows(
    age, is_granted
):
    now = read_monotonic()
    cell, calls = Cell(Epoch(1), TERMS, now), RecordedCalls()
    cell.update_workers([make_entry("w1")], now=now)
    worker = cell.workers["w1"]
    worker.reachable, worker.answered_at = True, now
    renewals = Renewals(
        calls,
        cell,
        is_owner=lambda: True,
        wake=lambda: None,
        count_report=lambda: None,
        read_confirmation=lambda: read_monotonic() - age,
    )
    asyncio.run(renewals._renew(worker))
    assert (calls.renewals[0].lease_end is not None) is is_granted

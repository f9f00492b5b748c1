"""The combined score: feasibility, interference, spread, health and fragmentation."""

from dataclasses import replace

import pytest
from hypothesis import given, strategies as st

from plantainhinge.core.resources import Resources
from plantainhinge.core.states import TaskClass
from plantainhinge.placement.scores import (
    SCORES,
    Candidate,
    Demand,
    hash_to_fraction,
    pick_worker,
)

CAPACITY = Resources(64_000, 250_000, 2)
CRITICAL = TaskClass.LATENCY_CRITICAL
COMBINED = SCORES.find("combined")
BATCH = Demand("k", Resources(4000, 8000))
REPLICA = Demand("s", Resources(8000, 8000), CRITICAL, "s")
EXPLORING = replace(BATCH, draw=0.0)

amounts = st.builds(Resources, st.integers(0, 9), st.integers(0, 9), st.integers(0, 2))


@given(st.lists(amounts, max_size=6), amounts, st.sampled_from(sorted(SCORES)))
def test_no_score_picks_a_worker_that_does_not_fit(frees, need, name):
    candidates = {
        f"w{n}": Candidate(f"w{n}", "r", CAPACITY, free) for n, free in enumerate(frees)
    }
    worker = pick_worker(candidates, Demand("k", need), SCORES.find(name))
    if worker is None:
        assert not any(need.fits_within(free) for free in frees)
    else:
        assert need.fits_within(candidates[worker].free)


def candidate(name, free=32_000, **fields):
    return Candidate(name, "r", CAPACITY, Resources(free, 200_000, 2), **fields)


@pytest.mark.parametrize(
    ("demand", "better", "worse"),
    [
        (BATCH, candidate("a", 8000), candidate("b", 60_000)),
        (REPLICA, candidate("a", 8000), candidate("b", 60_000)),
        (BATCH, candidate("a", 60_000), candidate("b", 8000, interference_cost=1.0)),
        (REPLICA, candidate("a", 60_000), candidate("b", 8000, rack_replicas=1)),
        (
            REPLICA,
            candidate("a", rack_replicas=3),
            candidate("b", rack_replicas=1, excess_replicas=1),
        ),
        (BATCH, candidate("a", 60_000), candidate("b", 8000, suspicion=0.6)),
        (
            EXPLORING,
            candidate("a", 60_000, interference_cost=9.0),
            candidate("b", 8000),
        ),
        (
            replace(BATCH, avoid=frozenset("b")),
            candidate("a", interference_cost=9.0),
            candidate("b"),
        ),
    ],
)
def test_the_better_worker_is_picked_in_either_order(demand, better, worse):
    for rows in ([better, worse], [worse, better]):
        candidates = {row.worker: row for row in rows}
        assert pick_worker(candidates, demand, COMBINED) == better.worker


def test_hashed_fractions_are_uniform_and_deterministic():
    draws = [hash_to_fraction(f"t{n}", 1) for n in range(1000)]
    assert 0.4 < sum(draws) / 1000 < 0.6
    assert draws[7] == hash_to_fraction("t7", 1)

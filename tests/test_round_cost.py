"""One round of decisions costs little, however large one job is."""

import sys
from contextlib import contextmanager

import pytest

from plantainhinge.core.resources import Resources
from plantainhinge.dispatch.assignment import STARTS_PER_ROUND_MAX

from .simulated_cell import SimulatedCell, make_entry, make_job, make_step

TINY = Resources(100, 10)
# a round may take 100 ms, and a call of a Python function takes about a microsecond
CALLS_PER_ROUND_MAX = 100_000


def make_site():
    site = SimulatedCell(*(make_entry(f"w{index}", cores=32) for index in range(6)))
    site.run(0.3)
    return site


@contextmanager
def counting_calls():
    """Count the calls of functions and the steps of generators."""
    counts = {"call": 0}

    def count(frame, event, argument):
        if event == "call":
            counts["call"] += 1

    sys.setprofile(count)
    try:
        yield counts
    finally:
        sys.setprofile(None)


def measure_rounds(site, rounds):
    """Return the calls and the new attempts of each of some rounds."""
    measured = []
    for _ in range(rounds):
        before = count_attempts(site)
        site.now += 0.05
        with counting_calls() as counts:
            site.cell.decide(now=site.now, wall=site.now)
        measured.append((counts["call"], count_attempts(site) - before))
    return measured


def count_attempts(site):
    return sum(len(worker.attempts) for worker in site.cell.workers.values())


def make_deep(count):
    steps = [make_step(request=TINY)]
    steps += [make_step(request=TINY, depends_on=(i,)) for i in range(count - 1)]
    return steps


LARGE_JOBS = {
    "flat": lambda: [make_step(request=TINY)] * 8000,
    "deep": lambda: make_deep(8000),
    "wide": lambda: [make_step(request=TINY, count=20_000)],
    "without room": lambda: [make_step(request=Resources(10**6, 10))] * 8000,
}


# one job of 8,000 steps made each round last for seconds
@pytest.mark.parametrize("shape", sorted(LARGE_JOBS))
def test_a_round_stays_short_beside_one_large_job(shape):
    site = make_site()
    site.submit(make_job("large", *LARGE_JOBS[shape]()))
    rounds = measure_rounds(site, 3)
    assert max(calls for calls, _ in rounds) < CALLS_PER_ROUND_MAX
    assert max(starts for _, starts in rounds) <= STARTS_PER_ROUND_MAX


# the same: jobs handed in after the large one didn't run
@pytest.mark.parametrize("shape", ["flat", "deep", "without room"])
def test_small_jobs_run_beside_one_large_job(shape):
    site = make_site()
    site.submit(make_job("large", *LARGE_JOBS[shape]()[:1500]))
    site.submit(make_job("small"))
    site.run_until(lambda: site.state_of("small") == "completed", limit=6)


# only some steps of a job are tried in a round, so each must get its turn
def test_a_step_with_room_runs_behind_many_without():
    site = make_site()
    steps = [make_step(request=Resources(10**6, 10))] * 1000 + [make_step(request=TINY)]
    site.submit(make_job("large", *steps))
    site.run(3.0)
    assert site.count_starts() == 1


def test_all_tasks_of_a_wide_step_start_over_several_rounds():
    site = make_site()
    site.submit(make_job("wide", make_step(request=TINY, count=900, estimate=30.0)))
    site.run(1.0)
    assert site.count_starts() == 900

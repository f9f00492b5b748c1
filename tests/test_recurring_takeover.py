"""A new owner knows of the occurrences that an earlier one opened."""

from collections import Counter

import msgspec
import pytest

from plantainhinge.dispatch import open_jobs
from plantainhinge.jobs.model import JobSpec, Recurrence

from .simulated_cell import (
    STEP_SECONDS,
    SimulatedCell,
    make_entry,
    make_job,
    make_step,
)

INTERVAL_SECONDS = 1.0


def make_recurring(**step):
    spec = JobSpec(
        payload="work",
        steps=(make_step(estimate=0.3, **step),),
        recurrence=Recurrence(40, 0.0, INTERVAL_SECONDS),
    )
    return msgspec.structs.replace(make_job("j"), spec=spec)


def run_without_owner(site, seconds):
    for _ in range(round(seconds / STEP_SECONDS)):
        site.now += STEP_SECONDS
        for worker in site.workers.values():
            worker.advance(STEP_SECONDS)


def count_starts_by_task(site):
    return Counter(key for worker in site.workers.values() for key, _ in worker.started)


# the death of an owner made finished occurrences run again
@pytest.mark.parametrize("pause", [0.1, 0.6])
@pytest.mark.parametrize("step", [{"count": 2}, {"count": 2, "gang": True}])
def test_an_occurrence_that_the_log_lacks_is_not_run_again(monkeypatch, pause, step):
    monkeypatch.setattr(open_jobs, "OPEN_TASKS_MAX", 6)
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    site.run(0.5)
    record = make_recurring(**step)
    site.submit(record)
    site.run(0.2)
    # the first occurrence stays open, and so do those after it
    for worker in site.workers.values():
        for attempt in worker.attempts.values():
            attempt.time_left = 1e3
    newest = 12
    site.run_until(
        lambda: any(key.occurrence == newest for _, key, _ in site.list_running())
    )
    run_without_owner(site, pause)
    site.take_over([record])
    site.run(3.0)
    starts = count_starts_by_task(site)
    assert max(key.occurrence for key in starts) > newest
    assert [key for key, count in starts.items() if count > 1] == []


# the same by clocks: by the new owner's clock the occurrence isn't due yet
def test_an_end_of_an_occurrence_that_is_not_due_yet_is_not_forgotten():
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    site.run(0.5)
    record = make_recurring()
    site.submit(record)
    site.run_until(
        lambda: any(key.occurrence == 5 for _, key, _ in site.list_running())
    )
    run_without_owner(site, 0.6)
    true_now, site.now = site.now, site.now - 4.0
    site.take_over([])
    site.submit(record, inherited=True)
    site.now = true_now
    site.run(3.0)
    assert [key for key, count in count_starts_by_task(site).items() if count > 1] == []

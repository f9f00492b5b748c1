"""Faulty jobs are distinguished from faulty workers."""

import pytest
from hypothesis import given, strategies as st

from plantainhinge.placement.health import HealthLimits, HealthTable, explain_faulty_job

LIMITS = HealthLimits()
WORKERS = [f"w{n}" for n in range(12)]


def fail(table, worker, task, now=0.0, kind="k"):
    table.record_failure(worker, kind, task, len(WORKERS), now)


def list_quarantined(table, now=1.0):
    return [w for w in WORKERS if not table.is_eligible(w, now)]


@given(st.lists(st.tuples(st.sampled_from(WORKERS), st.integers(0, 1)), max_size=60))
def test_one_failing_job_never_quarantines_a_worker(events):
    table = HealthTable()
    for number, (worker, good) in enumerate(events):
        if good:
            table.record_success(worker, "k", f"good-{number}")
        else:
            fail(table, worker, "bad")
    assert list_quarantined(table) == []


@given(st.lists(st.tuples(st.sampled_from(WORKERS), st.integers(0, 40)), max_size=200))
def test_the_share_of_quarantined_workers_is_bounded(events):
    table = HealthTable()
    for worker, job in events:
        fail(table, worker, f"j{job}", kind=f"k{job}")
    limit = len(WORKERS) * LIMITS.max_quarantined_share
    assert len(list_quarantined(table)) <= limit


def test_a_kind_that_fails_everywhere_quarantines_no_worker():
    table = HealthTable()
    for number in range(60):
        fail(table, WORKERS[number % 12], f"j{number}", kind="broken")
    assert len(list_quarantined(table)) == 0


def test_a_worker_that_fails_several_jobs_is_quarantined():
    table = HealthTable()
    for number in range(LIMITS.jobs_per_worker):
        fail(table, "w0", f"j{number}")
        table.record_success("w1", "k", f"good-{number}")
    assert list_quarantined(table) == ["w0"]


def test_a_quarantined_worker_is_probed_with_one_attempt_and_growing_pauses():
    table = HealthTable()
    for number in range(LIMITS.jobs_per_worker):
        fail(table, "w0", f"j{number}")
    now, pauses = 0.0, []
    for number in range(8):
        start = now
        while not table.is_eligible("w0", now):
            now += 1.0
        pauses.append(now - start)
        table.record_placement("w0", now)
        assert not table.is_eligible("w0", now)
        fail(table, "w0", f"probe-{number}", now)
    assert pauses == [30, 60, 120, 240, 480, 960, 1920, 1920]
    table.record_placement("w0", now + 1920)
    table.record_success("w0", "k", "well")
    assert table.is_eligible("w0", now + 1920)


@pytest.mark.parametrize(
    ("failed_on", "final"),
    [((), False), (("a", "b"), False), (("a", "b", "c"), True)],
)
def test_a_job_is_final_after_failing_on_distinct_workers(failed_on, final):
    assert bool(explain_faulty_job(frozenset(failed_on), LIMITS)) is final


def test_most_workers_stay_in_use_when_all_fail_every_job():
    table = HealthTable()
    for number, worker in enumerate(WORKERS):
        for job in range(LIMITS.jobs_per_worker):
            fail(table, worker, f"j{number}-{job}", kind=f"k{number}")
    assert len(list_quarantined(table)) == 4

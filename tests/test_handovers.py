"""The handover tells the next owner what runs on silent workers, and own loads."""

import math

import pytest
from hypothesis import given, settings, strategies as st

from .simulated_cell import (
    LEASE_SECONDS_MAX,
    SimulatedCell,
    SimulatedWorker,
    make_entry,
    make_job,
    make_step,
)


def make_silent(site, name):
    site.workers[name].unreachable = True
    site.run(0.3)


def fill_site():
    """Return a site of two full workers with as many jobs again that wait."""
    site = SimulatedCell(make_entry("w1", cores=4), make_entry("w2", cores=4))
    jobs = [make_job(f"j{index}", make_step(estimate=20.0)) for index in range(16)]
    for job in jobs:
        site.submit(job)
    site.run(1)
    assert site.count_starts() == 8
    return site, jobs


def test_inherited_jobs_wait_only_for_what_may_run_on_a_worker_known_to_be_silent():
    site, jobs = fill_site()
    make_silent(site, "w1")
    lost = {task.job for worker, task, _ in site.list_running() if worker == "w1"}
    site.workers["w3"] = SimulatedWorker(make_entry("w3"))
    site.workers["w3"].now = site.now
    site.take_over(jobs)
    site.run(0.5)
    restarted = {task.job for task, _ in site.workers["w3"].started}
    assert len(restarted) == 8
    assert not restarted & lost
    site.run(LEASE_SECONDS_MAX)
    site.workers["w1"].attempts.clear()
    site.run_until(lambda: site.state_of("j15") == "completed", limit=60)
    starts = [task for worker in site.workers.values() for task, _ in worker.started]
    assert len(starts) == 16 + len(lost)


def test_a_silent_worker_that_answers_the_new_owner_keeps_its_attempts():
    site, jobs = fill_site()
    make_silent(site, "w1")
    site.take_over(jobs)
    site.run(0.5)
    site.workers["w1"].unreachable = False
    site.run_until(
        lambda: all(site.state_of(job.job) == "completed" for job in jobs), limit=90
    )
    assert site.count_starts() == 16


def test_a_worker_that_was_silent_gets_no_start_before_the_log_says_that_it_answers():
    site = SimulatedCell(make_entry("w1"))
    site.run(0.3)
    make_silent(site, "w1")
    site.log_up = False
    site.workers["w1"].unreachable = False
    site.submit(make_job("j"))
    site.run(1)
    assert site.count_starts() == 0
    site.log_up = True
    site.run(0.3)
    assert site.count_starts() == 1


def test_a_later_attempt_elsewhere_shows_that_one_on_a_silent_worker_was_given_up():
    """The handover was logged before the lease of the silent worker ended."""
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    job = make_job("j", make_step(long_running=True))
    site.submit(job)
    site.run(0.5)
    ((first, _, _),) = site.list_running()
    make_silent(site, first)
    handover = site.handover
    assert [row.worker for row in handover.silent] == [first]
    site.run_until(lambda: site.count_starts() == 2)
    site.handover = handover
    site.take_over([job])
    site.run(8)
    assert site.count_starts() == 2
    assert len(site.list_running()) == 1


def apply_event(site, event, worker, jobs):
    match event:
        case "silence" | "answer":
            site.workers[worker].unreachable = event == "silence"
        case "take over":
            site.take_over(jobs)
        case "log down" | "log up":
            site.log_up = event == "log up"


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["silence", "answer", "take over", "log down", "log up"]),
            st.sampled_from(["w1", "w2", "w3"]),
            st.sampled_from([0.1, 0.4, 1.5, 4.0]),
        ),
        max_size=14,
    )
)
def test_no_task_runs_twice_while_owners_change_and_workers_fall_silent(events):
    site = SimulatedCell(*(make_entry(f"w{n}", cores=4) for n in (1, 2, 3)))
    jobs = [make_job(f"j{index}", make_step(estimate=3.0)) for index in range(20)]
    for job in jobs:
        site.submit(job)
    for event, worker, seconds in events:
        apply_event(site, event, worker, jobs)
        for _ in range(round(seconds / 0.1)):
            site.run(0.1)
            tasks = [task for _, task, _ in site.list_running()]
            assert len(tasks) == len(set(tasks))
    site.log_up = True
    for worker in site.workers.values():
        worker.unreachable = False
    site.run_until(
        lambda: all(site.state_of(job.job) == "completed" for job in jobs), limit=60
    )


def test_a_new_owner_inherits_the_forecasts_of_own_loads():
    site = SimulatedCell(make_entry("w1"))
    step = make_step(long_running=True, image="front", target_seconds=0.05)
    job = make_job("j", step)
    site.submit(job)
    site.workers["w1"].tail_latency = lambda worker, attempt: (
        0.011 / (1 - 0.42 - 0.2 * math.sin(2 * math.pi * worker.now / 10))
    )
    site.run(25)
    site.take_over([job])
    forecast = site.cell.jobs[job.job].occurrences[0][0].own_load
    loads = [forecast.predict(at) for at in (27.5, 32.5)]
    assert loads == pytest.approx([0.22, 0.62], abs=0.08)

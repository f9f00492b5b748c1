"""Takeover of a cell: what a new owner adopts and which leases it waits for."""

import pytest

from plantainhinge.dispatch.leases import LeaseTerms
from plantainhinge.fleet.handover import Handover
from plantainhinge.fleet.model import (
    EndCause,
    EndedAttempt,
    WorkerReport,
)

from .simulated_cell import (
    LEASE_SECONDS_MAX,
    SimulatedCell,
    make_entry,
    make_job,
    make_policy,
    make_step,
    start_one_task,
)

LONG_TERMS = LeaseTerms(length=20.0, length_max=20.0)


def test_a_new_owner_adopts_running_attempts_and_starts_nothing_twice():
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    jobs = [make_job(f"j{index}", make_step(estimate=3.0)) for index in range(6)]
    for job in jobs:
        site.submit(job)
    site.run(1)
    site.take_over(jobs)
    site.run_until(lambda: all(site.state_of(j.job) == "completed" for j in jobs))
    assert site.count_starts() == 6


def test_a_new_owner_waits_for_the_leases_of_an_unreachable_worker():
    site, job, first = start_one_task(long_running=True)
    site.workers[first].unreachable = True
    site.take_over([job])
    site.run(5.5)
    assert site.count_starts() == 1
    site.run(1.5)
    assert site.count_starts() == 2
    assert len(site.list_running()) == 1


def test_a_new_owner_waits_no_longer_than_the_leases_of_the_previous_one():
    terms = LeaseTerms(length=6.0, length_max=30.0)
    site = SimulatedCell(make_entry("w1"), make_entry("w2"), terms=terms)
    job = make_job("j", make_step(long_running=True))
    site.submit(job)
    site.run(3.5)
    ((first, _, _),) = site.list_running()
    site.workers[first].unreachable = True
    site.take_over([job])
    site.run_until(lambda: site.count_starts() == 2, limit=LEASE_SECONDS_MAX + 0.5)
    assert len(site.list_running()) == 1


def test_a_new_owner_without_a_handover_waits_for_the_longest_lease():
    terms = LeaseTerms(length=6.0, length_max=12.0)
    site = SimulatedCell(make_entry("w1"), make_entry("w2"), terms=terms)
    job = make_job("j", make_step(long_running=True))
    site.submit(job)
    site.run(0.5)
    ((first, _, _),) = site.list_running()
    site.workers[first].unreachable = True
    site.handover = Handover()
    site.take_over([job])
    site.run(11.5)
    assert site.count_starts() == 1
    site.run(2.0)
    assert site.count_starts() == 2


@pytest.mark.parametrize(("seconds", "waits"), [(5, True), (16, False)])
def test_a_lease_bound_for_lack_of_a_handover_ends_with_those_leases(seconds, waits):
    """As when the cell changes its owner before any worker is listed."""
    terms = LeaseTerms(length=6.0, length_max=12.0)
    site = SimulatedCell(make_entry("w1"), make_entry("w2"), terms=terms)
    job = make_job("j", make_step(long_running=True))
    site.handover = Handover()
    site.take_over([job])
    site.run(seconds)
    ((first, _, _),) = site.list_running()
    site.workers[first].unreachable = True
    site.take_over([job])
    site.run(LEASE_SECONDS_MAX + 0.5)
    assert (site.count_starts() == 1) is waits


def test_a_new_owner_starts_new_jobs_while_it_waits_for_a_worker():
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    site.workers["w1"].unreachable = True
    site.take_over([])
    site.submit(make_job("j"))
    site.run(0.2)
    assert site.count_starts() == 1


def test_an_older_owner_is_fenced():
    site = SimulatedCell(make_entry("w1"))
    site.run(0.2)
    site.workers["w1"].fence = 5
    site.submit(make_job("j"))
    site.run(0.2)
    assert site.cell.fenced
    assert site.count_starts() == 0


def test_a_worker_gets_no_start_before_it_is_in_the_logged_handover():
    site = SimulatedCell(make_entry("w1"), log_up=False)
    site.submit(make_job("j"))
    site.run(2)
    assert site.count_starts() == 0
    site.log_up = True
    site.run(0.2)
    assert site.count_starts() == 1


def test_a_new_owner_waits_for_a_worker_that_left_the_directory():
    site, job, first = start_one_task(long_running=True)
    hidden = site.workers.pop(first)
    hidden.unreachable = True
    site.take_over([job])
    site.workers[first] = hidden
    site.run(5.5)
    assert site.count_starts() == 1
    site.run(1.5)
    assert site.count_starts() == 2


# an end in a later page of the report was missed, and its task started again
def test_a_report_that_may_not_list_all_ends_leaves_its_worker_unverified():
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    job = make_job("j", make_step(count=501))
    site.run(0.3)
    site.take_over([job])
    cell = site.cell
    tasks = cell.jobs["j"].occurrences[0][0].tasks
    ends = tuple(
        EndedAttempt(number, task.key, 1, EndCause.DONE, "")
        for number, task in enumerate(tasks[:500], start=1)
    )
    for name, ended in (("w1", ends), ("w2", ())):
        report = WorkerReport(clock=site.now, incarnation=1, running=(), ended=ended)
        row = cell.workers[name]
        cell.handle_report(row, report, sent=site.now, now=site.now)
    cell.confirm_flush(cell.take_flush(now=site.now))
    cell.decide(now=site.now, wall=site.now)
    assert cell.take_commands() == []


# a successor knew only the shorter leases of the last handover
def test_longer_leases_are_granted_only_once_the_log_tells_of_them():
    site, job, first = start_one_task(long_running=True)
    site.run(1.0)
    handover = site.handover
    site.terms = LONG_TERMS
    site.cell.change_terms(LONG_TERMS, now=site.now)
    site.log_up = False
    site.run(0.2)
    site.workers[first].unreachable = True
    site.log_up, site.handover = True, handover
    site.take_over([job])
    site.run(LEASE_SECONDS_MAX + 1)
    assert site.count_starts() == 2
    assert len(site.list_running()) == 1


# a successor knew only the shorter leases, while a longer one still ran
def test_a_new_owner_waits_for_the_leases_granted_before_they_were_shortened():
    site = SimulatedCell(make_entry("w1"), make_entry("w2"), terms=LONG_TERMS)
    job = make_job("j", make_step(long_running=True))
    site.submit(job)
    site.run(0.5)
    site.take_over([job])
    site.run(25.0)
    ((first, _, _),) = site.list_running()
    site.workers[first].unreachable = True
    site.terms = LeaseTerms(length=6.0, length_max=20.0)
    site.cell.change_terms(site.terms, now=site.now)
    site.run(3.5)
    site.take_over([job])
    site.run(15.0)
    assert site.count_starts() == 1
    site.run(10.0)
    assert site.count_starts() == 2


def test_longer_leases_are_handed_over_at_once():
    site, _, _ = start_one_task(long_running=True)
    site.cell.change_terms(LONG_TERMS, now=site.now)
    site.run(0.2)
    assert site.handover.lease_seconds == 20.0


# it was forgotten after 15 s, and its task started elsewhere beside it
def test_a_new_owner_waits_for_long_leases_of_a_worker_that_left_the_directory():
    site, job, first = start_one_task(long_running=True)
    site.terms = LONG_TERMS
    site.cell.change_terms(LONG_TERMS, now=site.now)
    site.run(3.5)
    hidden = site.workers.pop(first)
    hidden.unreachable = True
    (listed,) = (worker.entry for worker in site.workers.values())
    site.take_over([job])
    site.workers[first] = hidden
    for _ in range(19):
        site.run(1.0)
        site.cell.update_workers([listed], now=site.now)
    assert site.count_starts() == 1
    site.run(3.0)
    assert site.count_starts() == 2


def test_a_new_owner_reaches_a_worker_that_left_the_directory():
    site, job, first = start_one_task(long_running=True)
    unlisted = site.workers.pop(first)
    site.take_over([job])
    site.workers[first] = unlisted
    site.run(10)
    assert site.count_starts() == 1
    assert len(site.list_running()) == 1


def test_a_new_owner_inherits_the_interference_weights():
    site = SimulatedCell(make_entry("w1"))
    site.cell.weights.restore("front", "index", 2.5, 0.0)
    site.run(0.2)
    site.take_over([])
    assert site.cell.weights.find("front", "index") == 2.5


def test_a_logged_failure_is_not_counted_again():
    site = SimulatedCell(make_entry("w1"))
    site.workers["w1"].fails = True
    job = make_job("j", policy=make_policy(attempts=3))
    site.submit(job)
    site.run_until(lambda: "j" in site.log and site.count_starts() == 2)
    worker = site.workers["w1"]
    worker.ended = [EndedAttempt(1, *worker.started[0], EndCause.FAILED, "")]
    site.take_over([job])
    site.run(20)
    assert site.count_starts() == 3

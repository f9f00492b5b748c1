"""What a new owner of the cell may do, and what it must wait for."""

from plantainhinge.dispatch.leases import LeaseTerms
from plantainhinge.fleet.handover import Handover
from plantainhinge.fleet.model import (
    EndCause,
    EndedRow,
)

from .cell_site import (
    LEASE_BOUND,
    ModelSite,
    make_entry,
    make_job,
    make_policy,
    make_step,
)


def test_a_new_owner_adopts_what_runs_and_starts_nothing_twice():
    site = ModelSite(make_entry("w1"), make_entry("w2"))
    jobs = [make_job(f"j{index}", make_step(estimate=3.0)) for index in range(6)]
    for job in jobs:
        site.submit(job)
    site.run(1)
    site.take_over(jobs)
    site.run_until(lambda: all(site.state_of(j.job) == "completed" for j in jobs))
    assert site.count_starts() == 6


def test_a_new_owner_waits_for_a_worker_that_it_cannot_see():
    site = ModelSite(make_entry("w1"), make_entry("w2"))
    job = make_job("j", make_step(lasting=True))
    site.submit(job)
    site.run(0.5)
    ((first, _, _),) = site.list_running()
    site.workers[first].silent = True
    site.take_over([job])
    site.run(5.5)
    assert site.count_starts() == 1
    site.run(1.5)
    assert site.count_starts() == 2
    assert len(site.list_running()) == 1


def test_a_new_owner_waits_no_longer_than_the_leases_of_the_last_one():
    terms = LeaseTerms(length=6.0, length_max=30.0)
    site = ModelSite(make_entry("w1"), make_entry("w2"), terms=terms)
    job = make_job("j", make_step(lasting=True))
    site.submit(job)
    site.run(3.5)
    ((first, _, _),) = site.list_running()
    site.workers[first].silent = True
    site.take_over([job])
    site.run_until(lambda: site.count_starts() == 2, limit=LEASE_BOUND + 0.5)
    assert len(site.list_running()) == 1


def test_a_new_owner_without_a_handover_waits_for_the_longest_lease():
    terms = LeaseTerms(length=6.0, length_max=12.0)
    site = ModelSite(make_entry("w1"), make_entry("w2"), terms=terms)
    job = make_job("j", make_step(lasting=True))
    site.submit(job)
    site.run(0.5)
    ((first, _, _),) = site.list_running()
    site.workers[first].silent = True
    site.handover = Handover()
    site.take_over([job])
    site.run(11.5)
    assert site.count_starts() == 1
    site.run(2.0)
    assert site.count_starts() == 2


def test_a_new_owner_starts_new_jobs_while_it_waits_for_a_worker():
    site = ModelSite(make_entry("w1"), make_entry("w2"))
    site.workers["w1"].silent = True
    site.take_over([])
    site.submit(make_job("j"))
    site.run(0.2)
    assert site.count_starts() == 1


def test_an_older_owner_is_fenced():
    site = ModelSite(make_entry("w1"))
    site.run(0.2)
    site.workers["w1"].fence = 5
    site.submit(make_job("j"))
    site.run(0.2)
    assert site.cell.fenced
    assert site.count_starts() == 0


def test_a_worker_gets_no_start_before_the_log_names_it():
    site = ModelSite(make_entry("w1"), log_up=False)
    site.submit(make_job("j"))
    site.run(2)
    assert site.count_starts() == 0
    site.log_up = True
    site.run(0.2)
    assert site.count_starts() == 1


def test_a_new_owner_waits_for_a_worker_that_left_the_directory():
    site = ModelSite(make_entry("w1"), make_entry("w2"))
    job = make_job("j", make_step(lasting=True))
    site.submit(job)
    site.run(0.5)
    ((first, _, _),) = site.list_running()
    hidden = site.workers.pop(first)
    hidden.silent = True
    site.take_over([job])
    site.workers[first] = hidden
    site.run(5.5)
    assert site.count_starts() == 1
    site.run(1.5)
    assert site.count_starts() == 2


def test_a_new_owner_reaches_a_worker_that_left_the_directory():
    site = ModelSite(make_entry("w1"), make_entry("w2"))
    job = make_job("j", make_step(lasting=True))
    site.submit(job)
    site.run(0.5)
    ((first, _, _),) = site.list_running()
    unlisted = site.workers.pop(first)
    site.take_over([job])
    site.workers[first] = unlisted
    site.run(10)
    assert site.count_starts() == 1
    assert len(site.list_running()) == 1


def test_a_new_owner_knows_what_images_do_to_each_other():
    site = ModelSite(make_entry("w1"))
    site.cell.weights.restore("front", "index", 2.5, 0.0)
    site.run(0.2)
    site.take_over([])
    assert site.cell.weights.find("front", "index", site.now) == 2.5


def test_a_failure_that_the_log_holds_is_not_counted_again():
    site = ModelSite(make_entry("w1"))
    site.workers["w1"].fails = True
    job = make_job("j", policy=make_policy(attempts=3))
    site.submit(job)
    site.run_until(lambda: "j" in site.log and site.count_starts() == 2)
    worker = site.workers["w1"]
    worker.ended = [EndedRow(1, *worker.started[0], EndCause.FAILED, "")]
    site.take_over([job])
    site.run(20)
    assert site.count_starts() == 3

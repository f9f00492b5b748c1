"""Workers that crash: when what they ran has surely ended."""

from plantainhinge.dispatch.leases import LeaseTerms

from .simulated_cell import SimulatedCell, make_entry, make_job, make_step
from .simulated_crashes import DOWN_SECONDS, open_crashing_site


def crash_worker_of(site, job):
    """Crash the worker of a job's only task."""
    (name,) = (worker for worker, task, _ in site.list_running() if task.job == job)
    site.crash(name)
    return name


def test_tasks_of_a_crashed_worker_go_on_once_another_one_answers_at_its_address():
    site = open_crashing_site()
    site.run(0.5)
    site.submit(make_job("j", make_step(long_running=True)))
    site.run(1)
    crash_worker_of(site, "j")
    site.run(DOWN_SECONDS - 0.2)
    assert site.list_running() == []
    site.run(0.6)
    assert [attempt for *_, attempt in site.list_running()] == [2]


def test_a_crashed_worker_without_a_successor_keeps_its_tasks_until_the_lease_ends():
    site = open_crashing_site(down_seconds=float("inf"))
    site.run(0.5)
    site.submit(make_job("j", make_step(long_running=True)))
    site.run(1)
    crash_worker_of(site, "j")
    site.run(5.5)
    assert site.list_running() == []
    site.run(1.2)
    assert [attempt for *_, attempt in site.list_running()] == [2]


def test_a_new_owner_learns_from_the_address_that_a_silent_worker_has_ended():
    site = open_crashing_site()
    site.run(0.5)
    job = make_job("j", make_step(long_running=True))
    site.submit(job)
    site.run(1)
    crash_worker_of(site, "j")
    site.run(0.8)
    site.take_over([job])
    site.run(DOWN_SECONDS - 1.0)
    assert site.list_running() == []
    site.run(0.6)
    assert [task.job for _, task, _ in site.list_running()] == ["j"]


def test_a_start_that_reached_the_next_incarnation_may_hold_the_longest_lease():
    # review/6 on a related path: a lease by the former clock is far beyond the new one
    terms = LeaseTerms(length=6.0, length_max=10.0)
    site = SimulatedCell(make_entry("w1"), terms=terms)
    site.run(0.5)
    worker = site.workers["w1"]
    worker.answers_to_lose = 1
    site.submit(make_job("j", make_step(long_running=True)))
    site.run(0.05)
    assert worker.started
    restarted_at = site.now
    worker.entry = make_entry("w1", incarnation=2)
    worker.unreachable = True
    site.workers["w2"] = type(worker)(make_entry("w2"), now=site.now)
    site.update_workers()
    site.run_until(lambda: site.workers["w2"].attempts, limit=30)
    assert site.now - restarted_at >= terms.length_max

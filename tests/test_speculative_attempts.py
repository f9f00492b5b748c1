"""Speculative attempts of slow tasks."""

import pytest

from plantainhinge.core.resources import Resources
from plantainhinge.fleet.model import EndCause
from plantainhinge.jobs.model import Step

from .simulated_cell import SimulatedCell, make_entry, make_job


def make_step(**changes):
    request = Resources(1000, 100)
    return Step(
        **({"request": request, "estimate": 1.0, "speculative": True} | changes)
    )


def start_one(site, **changes):
    """Start a job of one task and return the worker that runs it."""
    site.run(0.2)
    site.submit(make_job("j", make_step(**changes)))
    site.run(0.1)
    ((worker, _, _),) = site.list_running()
    return site.workers[worker]


def make_site():
    return SimulatedCell(make_entry("w1"), make_entry("w2"))


def test_a_task_on_a_slow_worker_finishes_on_another():
    site = make_site()
    start_one(site).speed = 0.1
    site.run_until(lambda: site.state_of("j") == "completed", limit=2.5)
    assert site.count_starts() == 2


def test_a_task_on_an_unreachable_worker_is_speculated_at_once():
    site = make_site()
    start_one(site).unreachable = True
    site.run_until(lambda: site.state_of("j") == "completed", limit=1.5)


def test_a_task_with_an_unanswered_order_is_speculated():
    site = SimulatedCell(make_entry("w1", cores=9), make_entry("w2"))
    site.run(0.2)
    site.workers["w1"].ignores_starts = True
    site.submit(make_job("j", make_step()))
    site.run_until(lambda: site.state_of("j") == "completed", limit=1.6)
    assert [len(worker.started) for worker in site.workers.values()] == [0, 1]


def test_the_slower_attempt_is_stopped_and_its_resources_are_freed():
    site = make_site()
    slow = start_one(site)
    slow.speed = 0.1
    site.run_until(lambda: site.state_of("j") == "completed", limit=3)
    site.run(0.5)
    assert site.list_running() == []
    assert slow.stopped


@pytest.mark.parametrize("changes", [{"speculative": False}, {"long_running": True}])
def test_tasks_that_allow_no_speculation_run_once(changes):
    site = make_site()
    start_one(site, **changes).unreachable = True
    site.run(2)
    assert site.count_starts() == 1


def test_a_task_at_its_usual_speed_is_not_speculated():
    site = make_site()
    start_one(site, estimate=3.0).speed = 0.8
    site.run_until(lambda: site.state_of("j") == "completed", limit=6)
    assert site.count_starts() == 1


def test_tasks_that_are_all_slow_are_not_speculated():
    site = SimulatedCell(*(make_entry(f"w{index}", cores=2) for index in range(6)))
    site.run(0.2)
    for worker in site.workers.values():
        worker.speed = 0.3
    site.submit(make_job("j", make_step(count=6, per_worker_max=1)))
    site.run_until(lambda: site.state_of("j") == "completed", limit=6)
    assert site.count_starts() == 6


def test_a_task_has_at_most_one_speculative_attempt():
    site = SimulatedCell(*(make_entry(f"w{index}") for index in range(4)))
    start_one(site)
    for worker in site.workers.values():
        worker.speed = 0.01
    site.run(10)
    assert site.count_starts() == 2


def test_waiting_tasks_are_placed_before_speculative_attempts():
    site = SimulatedCell(make_entry("w1", cores=1), make_entry("w2", cores=1))
    start_one(site).unreachable = True
    site.submit(make_job("k", make_step()))
    site.run(0.3)
    running = {task.job for _, task, _ in site.list_running()}
    assert running == {"j", "k"}
    assert site.count_starts() == 2


def test_a_new_owner_accepts_the_end_of_one_attempt_while_another_runs():
    """The second attempt is reported as running before the end of the first is."""
    site = make_site()
    first = start_one(site, estimate=2.0)
    first.speed = 0.3
    site.run_until(lambda: site.count_starts() == 2, limit=6)
    (key,) = first.attempts
    other = next(worker for worker in site.workers.values() if worker is not first)
    other.speed = 0.01
    site.log_up = False
    first._end(key, EndCause.DONE)
    job = make_job("j", make_step(estimate=2.0))
    site.take_over([job])
    first.unreachable = True
    site.run(0.2)
    first.unreachable = False
    site.log_up = True
    site.run_until(lambda: site.state_of("j") == "completed", limit=1.0)
    site.run(1.0)
    assert site.count_starts() == 2
    assert site.list_running() == []
    assert first.ended == []

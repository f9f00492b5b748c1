"""Starts whose fate is open: lost answers, restarted workers, refused repeats."""

import msgspec
import pytest

from plantainhinge.fleet.model import (
    OrderAnswer,
    OrderOutcome,
)

from .cell_site import (
    ModelSite,
    make_entry,
    make_job,
    make_step,
)


def test_a_start_whose_answer_was_lost_runs_once():
    site = ModelSite(make_entry("w1"), make_entry("w2"))
    for worker in site.workers.values():
        worker.lose_answers = 2
    site.submit(make_job("j"))
    site.run_until(lambda: site.state_of("j") == "completed")
    assert site.count_starts() == 1


def test_tasks_of_a_worker_born_again_start_elsewhere_at_once():
    site = ModelSite(make_entry("w1"), make_entry("w2"))
    site.submit(make_job("j", make_step(lasting=True)))
    site.run(0.5)
    ((first, _, _),) = site.list_running()
    worker = site.workers[first]
    worker.runs.clear()
    worker.entry = msgspec.structs.replace(worker.entry, born=2)
    worker.fence, worker.now = 0, 0.0
    site.run(0.5)
    assert len(site.list_running()) == 1
    ((_, _, attempt),) = site.list_running()
    assert attempt == 2


def test_a_start_without_an_answer_stays_bound_to_its_worker():
    site = ModelSite(make_entry("w1"), make_entry("w2"))
    site.run(0.2)
    for worker in site.workers.values():
        worker.mute = True
    site.submit(make_job("j", make_step(estimate=9.0)))
    site.cell.decide(now=site.now, wall=site.now)
    for command in site.cell.take_commands():
        site._deliver(command)
    (first,) = (worker for worker in site.workers.values() if worker.started)
    for worker in site.workers.values():
        worker.mute = worker is first
    site.run(3)
    assert site.count_starts() == 1
    first.mute = False
    site.run(1)
    assert site.count_starts() == 1


def restart(site, name):
    """Have a worker lose everything and start again under its id."""
    worker = site.workers[name]
    worker.runs.clear()
    worker.ended.clear()
    worker.fence, worker.lease_end = 0, 0.0
    worker.entry = msgspec.structs.replace(worker.entry, born=worker.entry.born + 1)
    return worker


def decide(site):
    """Have decisions made and their orders delivered between two lists."""
    site.cell.decide(now=site.now, wall=site.now)
    for command in site.cell.take_commands():
        site._deliver(command)


def test_a_start_on_its_way_to_a_restarted_worker_runs_its_task_once():
    """The order lands after the restart, and after it was given again."""
    site = ModelSite(make_entry("w1", cores=9), make_entry("w2"))
    site.run(0.2)
    site.submit(make_job("j", make_step(estimate=9.0)))
    site.cell.decide(now=site.now, wall=site.now)
    (late,) = site.cell.take_commands()
    worker = restart(site, "w1")
    site.see()
    unknown = OrderAnswer(outcome=OrderOutcome.UNKNOWN)
    site.cell.handle_start_answer(late.attempt, unknown, now=site.now)
    site.run(2.0)
    worker.start(late.order, late.attempt.task.step.spec)
    assert len(site.list_running()) == 1
    site.run_until(lambda: site.state_of("j") == "completed", limit=12)
    assert site.count_starts() == 1


def test_a_start_to_a_worker_that_restarted_and_is_gone_is_given_up_with_its_lease():
    site = ModelSite(make_entry("w1", cores=9), make_entry("w2"))
    site.run(0.2)
    site.submit(make_job("j"))
    site.cell.decide(now=site.now, wall=site.now)
    (late,) = site.cell.take_commands()
    restart(site, "w1").silent = True
    site.see()
    unknown = OrderAnswer(outcome=OrderOutcome.UNKNOWN)
    site.cell.handle_start_answer(late.attempt, unknown, now=site.now)
    site.run(5.5)
    assert site.count_starts() == 0
    site.run_until(lambda: site.state_of("j") == "completed", limit=4)


def test_a_start_that_reached_a_restarted_worker_is_not_repeated_elsewhere():
    """The directory tells of the restart before any list shows the attempt."""
    site = ModelSite(make_entry("w1", cores=9), make_entry("w2"))
    site.run(0.5)
    site.submit(make_job("j", make_step(estimate=3.0)))
    restart(site, "w1")
    decide(site)
    assert [name for name, *_ in site.list_running()] == ["w1"]
    site.see()
    decide(site)
    site.run_until(lambda: site.state_of("j") == "completed", limit=8)
    assert site.count_starts() == 1


def test_a_start_that_a_restarted_worker_never_got_is_ordered_again():
    site = ModelSite(make_entry("w1", cores=9), make_entry("w2"))
    site.run(0.5)
    site.submit(make_job("j"))
    decide(site)
    restart(site, "w1").started.clear()
    site.see()
    site.run_until(lambda: site.state_of("j") == "completed", limit=4)
    assert len(site.list_running()) == 0
    assert site.count_starts() == 1


@pytest.mark.parametrize(
    "outcome",
    [
        OrderOutcome.SUPERSEDED,
        OrderOutcome.REFUSED,
        OrderOutcome.NO_ROOM,
        OrderOutcome.TOO_LATE,
    ],
)
@pytest.mark.parametrize("done", [True, False])
def test_a_repeated_start_that_is_refused_may_have_been_carried_out(outcome, done):
    site = ModelSite(make_entry("w1", cores=9), make_entry("w2"))
    site.run(0.2)
    site.submit(make_job("j", make_step(estimate=1.0)))
    site.cell.decide(now=site.now, wall=site.now)
    (first,) = site.cell.take_commands()
    worker = site.workers["w1"]
    worker.start(first.order, first.attempt.task.step.spec)
    unknown = OrderAnswer(outcome=OrderOutcome.UNKNOWN)
    site.cell.handle_start_answer(first.attempt, unknown, now=site.now)
    first.attempt.retry_at = site.now
    site.cell.decide(now=site.now, wall=site.now)
    site.cell.take_commands()
    if done:
        worker.advance(1.1)
    refused = OrderAnswer(outcome=outcome)
    site.cell.handle_start_answer(first.attempt, refused, now=site.now)
    decide(site)
    site.run_until(lambda: site.state_of("j") == "completed", limit=4)
    assert site.count_starts() == 1

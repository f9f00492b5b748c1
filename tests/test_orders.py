"""Starts with unknown outcome: lost answers, restarted workers, refused repeats."""

import msgspec
import pytest

from plantainhinge.core.resources import Resources
from plantainhinge.dispatch.cell import TEND_INTERVAL_SECONDS
from plantainhinge.fleet.model import (
    EndCause,
    OrderOutcome,
    OrderResponse,
)

from .simulated_cell import (
    STEP_SECONDS,
    SimulatedCell,
    make_entry,
    make_job,
    make_step,
)


def test_a_start_whose_answers_are_lost_runs_once():
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    for worker in site.workers.values():
        worker.answers_to_lose = 2
    site.submit(make_job("j"))
    site.run_until(lambda: site.state_of("j") == "completed")
    assert site.count_starts() == 1


def test_tasks_of_a_restarted_worker_start_again_at_once():
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    site.submit(make_job("j", make_step(long_running=True)))
    site.run(0.5)
    ((first, _, _),) = site.list_running()
    worker = site.workers[first]
    worker.attempts.clear()
    worker.entry = msgspec.structs.replace(worker.entry, incarnation=2)
    worker.fence, worker.now = 0, 0.0
    site.run(0.5)
    assert len(site.list_running()) == 1
    ((_, _, attempt),) = site.list_running()
    assert attempt == 2


def test_an_unanswered_start_stays_bound_to_its_worker():
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    site.run(0.2)
    for worker in site.workers.values():
        worker.drops_answers = True
    site.submit(make_job("j", make_step(estimate=9.0)))
    site.cell.decide(now=site.now, wall=site.now)
    for command in site.cell.take_commands():
        site._deliver(command)
    (first,) = (worker for worker in site.workers.values() if worker.started)
    for worker in site.workers.values():
        worker.drops_answers = worker is first
    site.run(3)
    assert site.count_starts() == 1
    first.drops_answers = False
    site.run(1)
    assert site.count_starts() == 1


def restart(site, name):
    """Restart a worker under its id, with all its state lost."""
    worker = site.workers[name]
    worker.attempts.clear()
    worker.ended.clear()
    worker.closed.clear()
    worker.fence, worker.lease_end = 0, 0.0
    worker.entry = msgspec.structs.replace(
        worker.entry, incarnation=worker.entry.incarnation + 1
    )
    return worker


def decide(site):
    """Make decisions and deliver their orders, without a report in between."""
    site.now += TEND_INTERVAL_SECONDS
    site.cell.decide(now=site.now, wall=site.now)
    for command in site.cell.take_commands():
        site._deliver(command)


def test_a_start_in_flight_to_a_restarted_worker_runs_its_task_once():
    """The order arrives after the restart, and after it was sent again."""
    site = SimulatedCell(make_entry("w1", cores=9), make_entry("w2"))
    site.run(0.2)
    site.submit(make_job("j", make_step(estimate=9.0)))
    site.cell.decide(now=site.now, wall=site.now)
    (late,) = site.cell.take_commands()
    worker = restart(site, "w1")
    site.update_workers()
    unknown = OrderResponse(outcome=OrderOutcome.UNKNOWN)
    site.cell.handle_start_answer(late.attempt, unknown, now=site.now)
    site.run(2.0)
    worker.start(late.order, late.attempt.task.step.spec)
    assert len(site.list_running()) == 1
    site.run_until(lambda: site.state_of("j") == "completed", limit=12)
    assert site.count_starts() == 1


def test_a_start_to_a_restarted_unreachable_worker_is_released_with_its_lease():
    site = SimulatedCell(make_entry("w1", cores=9), make_entry("w2"))
    site.run(0.2)
    site.submit(make_job("j"))
    site.cell.decide(now=site.now, wall=site.now)
    (late,) = site.cell.take_commands()
    restart(site, "w1").unreachable = True
    site.update_workers()
    unknown = OrderResponse(outcome=OrderOutcome.UNKNOWN)
    site.cell.handle_start_answer(late.attempt, unknown, now=site.now)
    site.run(5.5)
    assert site.count_starts() == 0
    site.run_until(lambda: site.state_of("j") == "completed", limit=4)


def test_a_start_that_reached_a_restarted_worker_is_not_repeated_elsewhere():
    """The directory shows the restart before any report lists the attempt."""
    site = SimulatedCell(make_entry("w1", cores=9), make_entry("w2"))
    site.run(0.5)
    site.submit(make_job("j", make_step(estimate=3.0)))
    restart(site, "w1")
    decide(site)
    assert [name for name, *_ in site.list_running()] == ["w1"]
    site.update_workers()
    decide(site)
    site.run_until(lambda: site.state_of("j") == "completed", limit=8)
    assert site.count_starts() == 1


def test_a_start_that_a_restarted_worker_never_received_is_ordered_again():
    site = SimulatedCell(make_entry("w1", cores=9), make_entry("w2"))
    site.run(0.5)
    site.submit(make_job("j"))
    decide(site)
    restart(site, "w1").started.clear()
    site.update_workers()
    site.run_until(lambda: site.state_of("j") == "completed", limit=4)
    assert len(site.list_running()) == 0
    assert site.count_starts() == 1


@pytest.mark.parametrize(
    "outcome",
    [
        OrderOutcome.SUPERSEDED,
        OrderOutcome.REFUSED,
        OrderOutcome.NO_CAPACITY,
        OrderOutcome.TOO_LATE,
    ],
)
@pytest.mark.parametrize("done", [True, False])
def test_a_repeated_start_that_is_refused_may_have_been_carried_out(outcome, done):
    site = SimulatedCell(make_entry("w1", cores=9), make_entry("w2"))
    site.run(0.2)
    site.submit(make_job("j", make_step(estimate=1.0)))
    site.cell.decide(now=site.now, wall=site.now)
    (first,) = site.cell.take_commands()
    worker = site.workers["w1"]
    worker.start(first.order, first.attempt.task.step.spec)
    unknown = OrderResponse(outcome=OrderOutcome.UNKNOWN)
    site.cell.handle_start_answer(first.attempt, unknown, now=site.now)
    site.now += TEND_INTERVAL_SECONDS
    first.attempt.retry_at = site.now
    site.cell.decide(now=site.now, wall=site.now)
    site.cell.take_commands()
    if done:
        worker.advance(1.1)
    refused = OrderResponse(outcome=outcome)
    site.cell.handle_start_answer(first.attempt, refused, now=site.now)
    decide(site)
    site.run_until(lambda: site.state_of("j") == "completed", limit=4)
    assert site.count_starts() == 1


REFUSALS = [OrderOutcome.REFUSED, OrderOutcome.NO_CAPACITY]


def leave_start_unsettled(outcome):
    """Order a start that is under way while its repetition is refused."""
    site = SimulatedCell(make_entry("w1", cores=9), make_entry("w2"))
    site.run(0.2)
    site.submit(make_job("j", make_step(long_running=True)))
    site.cell.decide(now=site.now, wall=site.now)
    (first,) = site.cell.take_commands()
    unknown = OrderResponse(outcome=OrderOutcome.UNKNOWN)
    site.cell.handle_start_answer(first.attempt, unknown, now=site.now)
    site.now += TEND_INTERVAL_SECONDS
    first.attempt.retry_at = site.now
    site.cell.decide(now=site.now, wall=site.now)
    site.cell.take_commands()
    refused = OrderResponse(outcome=outcome)
    site.cell.handle_start_answer(first.attempt, refused, now=site.now)
    return site, first


def carry_out(site, start):
    worker = site.workers[start.attempt.worker.name]
    return worker.start(start.order, start.attempt.task.step.spec).outcome


@pytest.mark.parametrize("outcome", REFUSALS)
def test_an_unsettled_start_that_is_carried_out_late_does_not_run_its_task_twice(
    outcome,
):
    site, first = leave_start_unsettled(outcome)
    site.run(1.0)
    assert [attempt for *_, attempt in site.list_running()] == [2]
    assert carry_out(site, first) is OrderOutcome.SUPERSEDED
    assert len(site.list_running()) == 1


@pytest.mark.parametrize("outcome", REFUSALS)
@pytest.mark.parametrize("stop", [OrderOutcome.REFUSED, OrderOutcome.UNKNOWN])
def test_a_task_waits_until_the_stop_of_its_unsettled_start_is_confirmed(outcome, stop):
    site, first = leave_start_unsettled(outcome)
    site.workers["w1"].stop_outcomes = [stop] * 3
    site.run(1.0)
    assert site.list_running() == []
    assert carry_out(site, first) is OrderOutcome.ACCEPTED
    for _ in range(80):
        site.run(0.05)
        assert len(site.list_running()) <= 1
    assert [attempt for *_, attempt in site.list_running()] == [2]


@pytest.mark.parametrize("outcome", REFUSALS)
def test_an_unsettled_start_that_a_report_lists_runs_on(outcome):
    site, first = leave_start_unsettled(outcome)
    assert carry_out(site, first) is OrderOutcome.ACCEPTED
    site.run(3.0)
    assert [attempt for *_, attempt in site.list_running()] == [1]
    assert site.workers["w1"].stopped == []


class PolledCell(SimulatedCell):
    """A site whose workers answer a renewal only after ``poll_seconds``."""

    poll_seconds = 1.05

    def __init__(self, *entries):
        self.polls_sent = {}
        super().__init__(*entries)

    def _renew(self, row):
        sent = self.polls_sent.setdefault(row.name, self.now)
        if row.reachable and self.now - sent < self.poll_seconds - STEP_SECONDS / 2:
            return
        self.polls_sent[row.name] = self.now
        renewal = self.cell.prepare_renewal(row, now=self.now)
        report = self.workers[row.name].renew(renewal)
        self.cell.handle_report(row, report, sent=sent, now=self.now)


@pytest.mark.parametrize("delay", [0.0, 0.2, 0.4, 0.6, 0.8])
def test_a_stopped_attempt_that_never_ran_gives_its_capacity_back(delay):
    site = PolledCell(make_entry("w1", cores=4))
    site.run(2 + delay)
    site.workers["w1"].ignores_starts = True
    site.submit(make_job("gone", make_step(request=Resources(3000, 100))))
    site.run(0.2)
    site.cell.cancel_job("gone", now=site.now)
    site.workers["w1"].ignores_starts = False
    site.submit(make_job("next", make_step(request=Resources(3000, 100))))
    site.run(3)
    assert [key.job for key, _ in site.workers["w1"].started] == ["next"]


def test_a_stopped_probe_does_not_close_its_worker():
    site = PolledCell(make_entry("w1"))
    worker = site.workers["w1"]
    site.submit(make_job("watch", make_step(count=2, long_running=True)))
    site.run(2)
    for key in list(worker.attempts):
        worker._end(key, EndCause.FAILED)
    worker.ignores_starts = True
    site.run_until(lambda: site.cell.workers["w1"].probe is not None)
    site.cell.cancel_job("watch", now=site.now)
    worker.ignores_starts = False
    site.submit(make_job("next"))
    site.run(0.5)
    assert [key.job for key, _ in worker.started][2:] == ["next"]

"""Which ends of attempts count, and what the log says of those that don't."""

import logging

import pytest

from plantainhinge.fleet.model import EndCause, EndedAttempt

from .simulated_cell import (
    STEP_SECONDS,
    SimulatedCell,
    make_entry,
    make_job,
    make_step,
)

LONG = make_step(estimate=60.0)


def report_end(site, worker, task, *, number=1, cause=EndCause.DONE):
    """Let a worker report the end of an attempt that its owner doesn't know."""
    simulated = site.workers[worker]
    sequence = next(simulated.end_numbers)
    simulated.ended.append(EndedAttempt(sequence, task, number, cause, ""))
    simulated.end_times[sequence] = site.now
    site.run(0.5)


def list_dropped(caplog):
    return [
        (row.task, row.attempt, row.worker, row.cause, row.reason)
        for row in caplog.records
        if row.message == "end dropped"
    ]


def make_running_site(*, inherited):
    """Return a site, and the key of its only task, which runs on w1."""
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    site.submit(make_job("j", LONG), inherited=inherited)
    site.run_until(site.list_running)
    ((_, task, _),) = site.list_running()
    return site, task


@pytest.mark.parametrize(
    ("inherited", "reason"),
    [
        (True, "its task has another attempt"),
        (False, "no earlier owner can have started it"),
    ],
)
def test_an_end_that_is_acknowledged_in_vain_is_logged(caplog, inherited, reason):
    caplog.set_level(logging.INFO)
    site, task = make_running_site(inherited=inherited)
    report_end(site, "w2", task, number=7, cause=EndCause.STOPPED)
    assert not site.workers["w2"].ended
    assert list_dropped(caplog) == [("j.0.0.0", 7, "w2", "stopped", reason)]


def test_an_end_of_an_ended_job_is_logged_as_dropped(caplog):
    caplog.set_level(logging.INFO)
    site, task = make_running_site(inherited=True)
    site.cell.cancel_job("j", now=site.now)
    site.run(1.0)
    caplog.clear()
    report_end(site, "w2", task, cause=EndCause.LEASE_EXPIRED)
    ((*_, reason),) = list_dropped(caplog)
    assert reason == "its job or occurrence isn't open"


def test_an_end_of_a_done_task_is_logged_as_dropped(caplog):
    caplog.set_level(logging.INFO)
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    site.submit(make_job("j", make_step(), make_step(estimate=60.0, depends_on=(0,))))
    site.run(0.5)
    ((_, task, _),) = site.list_running()
    site.run(2.0)
    caplog.clear()
    report_end(site, "w2", task)
    ((*_, reason),) = list_dropped(caplog)
    assert reason == "its task is done"


def test_an_end_that_counts_is_not_logged_as_dropped(caplog):
    caplog.set_level(logging.INFO)
    site, task = make_running_site(inherited=True)
    site.run_until(lambda: site.workers["w1"].attempts or site.workers["w2"].attempts)
    (worker,) = (w for w in site.workers.values() if w.attempts)
    worker.attempts[(task, 1)].time_left = 0.0
    site.run(1.0)
    assert site.state_of("j") == "completed"
    assert list_dropped(caplog) == []


def list_lines(caplog, message, *names):
    return [
        tuple(getattr(row, name) for name in names)
        for row in caplog.records
        if row.message == message
    ]


def test_an_attempt_that_runs_beside_another_is_logged(caplog):
    caplog.set_level(logging.INFO)
    site, task = make_running_site(inherited=True)
    ((runs_on, _, _),) = site.list_running()
    (other,) = set(site.workers) - {runs_on}
    twin = site.workers[runs_on].attempts[(task, 1)]
    site.workers[other].attempts[(task, 2)] = twin
    site.run(0.5)
    found = list_lines(caplog, "attempt found beside another", "worker", "others")
    assert found == [(other, (runs_on,))]


def test_a_lapse_tells_the_owners_epoch_and_how_old_its_confirmation_is(caplog):
    caplog.set_level(logging.INFO)
    site, _ = make_running_site(inherited=True)
    ((runs_on, _, _),) = site.list_running()
    site.workers[runs_on].unreachable = True
    site.run(7.0)
    fields = ("epoch", "unconfirmed_s")
    ((epoch, unconfirmed),) = list_lines(caplog, "lease lapsed", *fields)
    assert epoch == 1
    assert unconfirmed == pytest.approx(STEP_SECONDS)


def test_tasks_withheld_for_a_silent_worker_are_logged_when_let_go(caplog):
    caplog.set_level(logging.INFO)
    site, _ = make_running_site(inherited=True)
    ((runs_on, _, _),) = site.list_running()
    site.workers[runs_on].unreachable = True
    site.run(1.0)
    site.take_over(list(site.records.values()))
    site.run(8.0)
    lines = list_lines(caplog, "withheld tasks let go", "worker", "tasks", "cause")
    assert lines == [(runs_on, 1, "silent")]

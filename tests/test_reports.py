"""Which ends of attempts count, and what the log says of those that don't."""

import logging

import pytest

from plantainhinge.fleet.model import EndCause, EndedAttempt

from .simulated_cell import SimulatedCell, make_entry, make_job, make_step

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
def test_a_done_end_that_is_acknowledged_in_vain_is_logged(caplog, inherited, reason):
    caplog.set_level(logging.INFO)
    site, task = make_running_site(inherited=inherited)
    report_end(site, "w2", task, number=7)
    assert not site.workers["w2"].ended
    assert list_dropped(caplog) == [("j.0.0.0", 7, "w2", "done", reason)]


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

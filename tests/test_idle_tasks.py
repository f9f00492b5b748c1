"""The log tells why a long-running task doesn't run."""

import msgspec

from plantainhinge.dispatch.idle_tasks import IDLE_SECONDS_MIN, IdleTasks
from plantainhinge.fleet.model import EndCause, WorkerState

from .simulated_cell import SimulatedCell, make_entry, make_job, make_step


def observe_after(site, seconds):
    idle = IdleTasks()
    idle.observe(site.cell, now=site.now)
    site.run(seconds)
    return idle.observe(site.cell, now=site.now)


def make_site():
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    site.submit(make_job("watch", make_step(long_running=True)))
    site.run(0.5)
    return site


def test_a_running_task_is_not_reported():
    assert observe_after(make_site(), 5) == []


def test_a_task_that_waits_is_reported_with_the_workers_that_have_room():
    site = make_site()
    for worker in site.workers.values():
        worker.entry = msgspec.structs.replace(worker.entry, state=WorkerState.DRAINING)
    site.update_workers()
    site.run(0.2)
    (event,) = observe_after(site, 3)
    assert (event.positions, event.waiting) == ((0,), 1)
    assert event.obstacles == ("draining=2",)
    assert event.idle_s > IDLE_SECONDS_MIN


def test_a_start_that_is_never_confirmed_is_reported_as_ordered():
    site = make_site()
    for worker in site.workers.values():
        worker.ignores_starts = True
        for key in list(worker.attempts):
            worker._end(key, EndCause.FAILED)
    site.run(0.2)
    (event,) = observe_after(site, 3)
    assert (event.waiting, event.ordered) == (0, 1)

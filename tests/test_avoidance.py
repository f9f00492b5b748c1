"""Tasks avoid workers on which they failed, but not for good."""

import msgspec
import pytest

from plantainhinge.core.resources import Resources
from plantainhinge.fleet.model import EndCause, WorkerState

from .simulated_cell import SimulatedCell, make_entry, make_job, make_step

# a long-running task has to run again this long after its last attempt ended
RESTART_SECONDS_MAX = 6.0
LABEL = "large"


def make_site(*entries):
    """Return a site that also has a worker full of work that never ends."""
    site = SimulatedCell(*entries, make_entry("full", labels=(LABEL,)))
    step = make_step(label=LABEL, long_running=True, request=Resources(7200, 100))
    site.submit(make_job("full", step))
    site.run(0.5)
    return site


def fail_attempts(site, job, *, on="w1"):
    worker = site.workers[on]
    for key in list(worker.attempts):
        if key[0].job == job:
            worker._end(key, EndCause.FAILED)


def count_running(site, job):
    return sum(key.job == job for _, key, _ in site.list_running())


def submit_long_running(site, **changes):
    step = make_step(long_running=True, request=Resources(2000, 100), **changes)
    site.submit(make_job("watch", step))
    site.run(0.5)


@pytest.mark.parametrize("step", [{}, {"count": 3}, {"count": 3, "gang": True}])
def test_a_long_running_task_that_failed_returns_to_the_only_worker_with_room(step):
    site = make_site(make_entry("w1"))
    submit_long_running(site, **step)
    fail_attempts(site, "watch")
    site.run(RESTART_SECONDS_MAX)
    assert count_running(site, "watch") == step.get("count", 1)


def test_a_long_running_task_goes_to_another_worker_at_once_if_one_has_room():
    site = make_site(make_entry("w1"), make_entry("w2"))
    submit_long_running(site)
    ((first, _, _),) = (row for row in site.list_running() if row[1].job == "watch")
    fail_attempts(site, "watch", on=first)
    site.run(0.3)
    ((second, _, _),) = (row for row in site.list_running() if row[1].job == "watch")
    assert second != first


def test_a_task_that_failed_holds_back_no_other_task_of_its_step():
    site = make_site(make_entry("w1"), make_entry("w2"))
    submit_long_running(site, count=2, per_worker_max=1)
    (on_w2,) = (key for worker, key, _ in site.list_running() if worker == "w2")
    fail_attempts(site, "watch", on="w1")
    leaving = site.workers["w2"]
    leaving.entry = msgspec.structs.replace(leaving.entry, state=WorkerState.DRAINING)
    site.update_workers()
    site.run(0.5)
    running = [key for _, key, _ in site.list_running() if key.job == "watch"]
    assert running == [on_w2]

"""Tasks avoid workers on which they failed, but not for good."""

import msgspec
import pytest

from plantainhinge.core.resources import Resources
from plantainhinge.dispatch.avoidance import (
    LAST_ATTEMPT_AVOIDANCE_SECONDS,
    avoid_worker,
)
from plantainhinge.dispatch.model import Ticket
from plantainhinge.dispatch.ordering import stop_attempt
from plantainhinge.fleet.model import EndCause, WorkerState

from .simulated_cell import (
    SimulatedCell,
    make_entry,
    make_job,
    make_policy,
    make_step,
)

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


# a job whose task had failed once waited for ever for a full worker
@pytest.mark.parametrize("policy", [{"attempts": 1}, {"attempts": 2}, {"attempts": 3}])
@pytest.mark.parametrize("step", [{}, {"count": 3, "gang": True}])
def test_a_task_that_failed_does_not_wait_for_a_worker_full_of_lasting_work(
    policy, step
):
    site = make_site(make_entry("w1", cores=16))
    site.submit(make_job("j", make_step(**step), policy=make_policy(**policy)))
    site.run(0.3)
    if policy["attempts"] > 1:
        fail_attempts(site, "j")
    else:
        stop_stalled_attempts(site, "j")
    site.run_until(lambda: site.state_of("j") == "completed", limit=4)


# the same where advice is against the other worker, or each has its share of the step
@pytest.mark.parametrize("obstacle", ["advice", "spread", "finite work"])
def test_a_task_that_failed_does_not_idle_beside_lightly_used_workers(obstacle):
    site = SimulatedCell(make_entry("w1", cores=16), make_entry("w2", cores=8))
    changes, policy = {}, make_policy(advised=obstacle == "advice")
    if obstacle == "spread":
        changes = {"per_worker_max": 1, "long_running": True, "count": 2}
    if obstacle == "finite work":
        busy = make_step(label="w2", request=Resources(7800, 100), estimate=60.0)
        site.workers["w2"].entry = make_entry("w2", labels=("w2",))
        site.update_workers()
        site.submit(make_job("busy", busy))
    site.run(0.5)
    site.submit(make_job("j", make_step(**changes), policy=policy))
    give_ticket(site, "j", "w1")
    site.run(0.5)
    fail_attempts(site, "j")
    site.run(3.0)
    assert any(
        worker == "w1" for worker, key, _ in site.list_running() if key.job == "j"
    )


def stop_stalled_attempts(site, job):
    """Stop a job's attempts as if they had stalled on the first worker."""
    for task in site.cell.jobs[job].list_tasks():
        avoid_worker(task, site.cell.workers["w1"])
        for attempt in list(task.attempts):
            stop_attempt(site.cell, attempt, now=site.now)


def give_ticket(site, job, worker):
    """Let the advice service allow a step on one worker only."""
    for task in site.cell.jobs[job].list_tasks():
        task.step.asked_workers.update(dict.fromkeys(site.workers, site.now))
        task.step.tickets[worker] = Ticket("ticket", float("inf"), incarnation=1)


# work that ends makes room: the last attempt waits for it, though not for good
def test_the_last_attempt_waits_for_finite_work_but_not_for_good():
    site = SimulatedCell(make_entry("w1"), make_entry("w2", labels=("w2",)))
    busy = make_step(label="w2", request=Resources(7800, 100), estimate=90.0)
    site.submit(make_job("busy", busy))
    site.run(0.5)
    site.submit(make_job("j", make_step(request=Resources(900, 100))))
    site.run(0.3)
    site.submit(make_job("more", make_step(count=7, long_running=True)))
    fail_attempts(site, "j")
    site.run(LAST_ATTEMPT_AVOIDANCE_SECONDS - 3.0)
    assert count_running(site, "j") == 0
    site.run_until(lambda: site.state_of("j") == "completed", limit=6)

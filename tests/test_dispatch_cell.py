"""Scheduling of a cell's jobs while workers, answers and the log fail."""

import msgspec
import pytest

from plantainhinge.dispatch import open_jobs
from plantainhinge.dispatch.open_jobs import OPEN_TASKS_MAX, open_job
from plantainhinge.dispatch.worker_pool import WorkerPool
from plantainhinge.fleet.model import (
    EndCause,
    WorkerState,
)
from plantainhinge.jobs.model import JobSpec, Recurrence

from .simulated_cell import (
    LEASE_SECONDS_MAX,
    SimulatedCell,
    make_entry,
    make_job,
    make_policy,
    make_step,
)


def test_steps_wait_for_their_dependencies():
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    job = make_job("j", make_step(count=3), make_step(count=2, depends_on=(0,)))
    site.submit(job)
    site.run(0.9)
    assert {task.step for _, task, _ in site.list_running()} == {0}
    site.run_until(lambda: site.state_of("j") == "completed", limit=4)
    assert site.count_starts() == 5


def test_tasks_of_an_unreachable_worker_restart_only_after_lease_expiry():
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    site.submit(make_job("j", make_step(long_running=True, count=1)))
    site.run(0.5)
    ((first, _, _),) = site.list_running()
    site.workers[first].unreachable = True
    silent_at = site.now
    site.run_until(lambda: site.count_starts() == 2, limit=30)
    waited = site.now - silent_at
    assert 6.0 <= waited <= LEASE_SECONDS_MAX + 0.5
    assert len(site.list_running()) == 1


def test_an_end_is_acknowledged_only_after_it_is_logged():
    site = SimulatedCell(make_entry("w1"))
    site.run(0.1)
    site.log_up = False
    site.submit(make_job("j"))
    site.run(3)
    worker = site.workers["w1"]
    assert [row.sequence for row in worker.ended] == [1]
    site.log_up = True
    site.run(0.5)
    assert worker.ended == []
    assert site.state_of("j") == "completed"


def test_steps_continue_while_the_log_is_unavailable():
    site = SimulatedCell(make_entry("w1"))
    site.run(0.1)
    site.log_up = False
    site.submit(make_job("j", make_step(), make_step(depends_on=(0,))))
    site.run(3)
    assert site.count_starts() == 2
    assert site.state_of("j") == "queued"


def test_a_cancelled_job_stops_its_attempts_and_starts_no_more():
    site = SimulatedCell(make_entry("w1", cores=2))
    site.submit(make_job("j", make_step(count=5, estimate=9.0)))
    site.run(0.5)
    site.cell.cancel_job("j", now=site.now)
    site.run(0.5)
    assert site.list_running() == []
    assert site.state_of("j") == "cancelled"
    site.run(2)
    assert site.count_starts() == 2


def test_a_job_fails_after_its_allowed_attempts_on_different_workers():
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    for worker in site.workers.values():
        worker.fails = True
    site.submit(make_job("j", policy=make_policy(attempts=2)))
    site.run_until(lambda: site.state_of("j") == "failed")
    starts = [len(worker.started) for worker in site.workers.values()]
    assert starts == [1, 1]


def test_a_long_running_task_restarts_after_any_number_of_failures():
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    site.submit(make_job("j", make_step(long_running=True)))
    for _ in range(4):
        site.run(2)
        for worker in site.workers.values():
            for key in list(worker.attempts):
                worker.attempts[key].long_running = False
                worker.attempts[key].time_left = 0.0
                worker.fails = True
    site.run(10)
    assert len(site.list_running()) == 1


def test_a_draining_worker_gets_no_starts_and_loses_long_running_tasks():
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    site.submit(make_job("j", make_step(long_running=True)))
    site.run(0.5)
    ((first, _, _),) = site.list_running()
    worker = site.workers[first]
    worker.entry = msgspec.structs.replace(
        worker.entry, state=WorkerState.DRAINING, remaining=2.0
    )
    site.update_workers()
    site.run(0.5)
    ((second, _, _),) = site.list_running()
    assert second != first


def test_a_closed_domain_gets_no_starts():
    site = SimulatedCell(make_entry("w1", domain="a"), make_entry("w2", domain="b"))
    site.cell.closed_domains = frozenset({"a"})
    site.submit(make_job("j", make_step(count=4)))
    site.run(0.5)
    assert {worker for worker, _, _ in site.list_running()} == {"w2"}


def test_progress_of_a_failed_flush_is_logged_later():
    site = SimulatedCell(make_entry("w1"))
    site.run(0.1)
    site.log_up = False
    site.submit(make_job("j"))
    site.run(2)
    assert site.cell.jobs == {}
    site.log_up = True
    site.run(0.2)
    assert site.state_of("j") == "completed"


def test_a_job_resubmitted_before_its_end_is_logged_runs_once():
    site = SimulatedCell(make_entry("w1"))
    job = make_job("j")
    site.submit(job)
    site.run(0.5)
    site.log_up = False
    site.run(1)
    assert site.cell.jobs == {}
    site.submit(job)
    site.run(2)
    assert site.count_starts() == 1


def test_a_failure_reported_to_two_owners_counts_once():
    """The new owner adopts the second attempt before it learns of the first failure."""
    site = SimulatedCell(make_entry("w1"), make_entry("w2", cores=16))
    for worker in site.workers.values():
        worker.fails = True
    job = make_job("j", policy=make_policy(attempts=2))
    site.run(0.1)
    site.log_up = False
    site.submit(job)
    site.run(1.5)
    assert [len(worker.started) for worker in site.workers.values()] == [1, 1]
    site.log_up = True
    site.take_over([job])
    site.run(10)
    assert site.state_of("j") == "failed"
    assert site.count_starts() == 2


def test_a_gang_fails_after_its_allowed_attempts_whichever_member_fails():
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    job = make_job("j", make_step(count=2, gang=True), policy=make_policy(attempts=2))
    site.submit(job)
    for position in (0, 1):
        site.run_until(lambda: len(site.list_running()) == 2)
        for worker in site.workers.values():
            for key in list(worker.attempts):
                failed = key[0].position == position
                worker._end(key, EndCause.FAILED if failed else EndCause.BROKEN)
    site.run(0.5)
    assert site.state_of("j") == "failed"
    assert site.count_starts() == 4


def test_each_occurrence_has_its_own_due_time():
    spec = JobSpec(
        payload="work", steps=(make_step(),), recurrence=Recurrence(3, 5.0, 10.0)
    )
    record = msgspec.structs.replace(make_job("j"), spec=spec)
    job = open_job(record, None, wall=30.0)
    assert [steps[0].due for steps in job.occurrences.values()] == [7.25, 17.25, 27.25]


def test_occurrences_start_on_schedule_and_may_overlap():
    site = SimulatedCell(make_entry("w1"))
    spec = JobSpec(
        payload="work",
        steps=(make_step(estimate=2.0),),
        recurrence=Recurrence(3, 1.0, 1.0),
    )
    site.submit(msgspec.structs.replace(make_job("j"), spec=spec))
    site.run(0.9)
    assert site.count_starts() == 0
    site.run(1.3)
    assert len(site.list_running()) == 2
    site.run_until(lambda: site.state_of("j") == "completed", limit=10)
    assert site.count_starts() == 3


@pytest.mark.parametrize("interval", [0.0, 0.001])
def test_a_job_with_very_many_occurrences_due_at_once_opens_few_at_a_time(interval):
    """As of one whose caller left out the time of the first."""
    site = SimulatedCell(make_entry("w1"))
    spec = JobSpec(
        payload="work",
        steps=(make_step(count=500, estimate=0.1),),
        recurrence=Recurrence(10**9, 0.0, interval),
    )
    record = msgspec.structs.replace(make_job("j"), spec=spec)
    site.now = 1e9
    site.submit(record)
    assert len(site.cell.jobs["j"].occurrences) == OPEN_TASKS_MAX // 500
    site.cell.jobs["j"].occurrences[0][0].unfinished = 0
    open_jobs.close_occurrences(site.cell.jobs["j"])
    open_jobs.open_due_occurrences(site.cell.jobs["j"], wall=site.now)
    assert set(site.cell.jobs["j"].occurrences) == {1, 2, 3, 4}


def test_an_error_in_the_placement_of_one_step_keeps_no_other_from_being_placed(
    monkeypatch,
):
    choose = WorkerPool.choose

    def choose_or_fail(pool, task):
        if task.key.job == "broken":
            raise ZeroDivisionError
        return choose(pool, task)

    monkeypatch.setattr(WorkerPool, "choose", choose_or_fail)
    site = SimulatedCell(make_entry("w1"))
    for name in ("a", "broken", "z"):
        site.submit(make_job(name))
    site.run(2)
    assert {name: site.state_of(name) for name in ("a", "broken", "z")} == {
        "a": "completed",
        "broken": "queued",
        "z": "completed",
    }
    monkeypatch.undo()
    site.run_until(lambda: site.state_of("broken") == "completed", limit=8)

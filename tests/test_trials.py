"""Suspects run apart from all others until runs clear or convict them."""

import msgspec
import pytest

from plantainhinge.core.ids import JobId
from plantainhinge.core.resources import Resources
from plantainhinge.dispatch.eviction import is_worth_moving
from plantainhinge.dispatch.losses import CLEARING_SECONDS
from plantainhinge.fleet.model import WorkerState
from plantainhinge.jobs.model import TaskKey

from .simulated_cell import (
    CALM_SECONDS,
    IDLE_SECONDS_MAX,
    STEP_SECONDS,
    make_entry,
    make_job,
    make_policy,
    make_step,
)
from .simulated_crashes import DOWN_SECONDS, CrashingCell, open_crashing_site
from .test_crashed_workers import crash_worker_of
from .test_deadly_tasks import DEADLY, STARTS_MAX, submit_deadly, submit_neighbours


def find_task(site, job):
    return site.cell.jobs[job].occurrences[0][0].tasks[0]


def crash_repeatedly(site, job, times, *, run_seconds):
    """Crash the worker of a job's only task each time it has run for some seconds."""
    for _ in range(times):
        site.run_until(lambda: any(key.job == job for _, key, _ in site.list_running()))
        site.run(run_seconds)
        crash_worker_of(site, job)


def open_suspect_site(losses=2, **step):
    """Return a site with a task that lost attempts to crashes that it didn't cause."""
    site = open_crashing_site()
    site.run(0.5)
    site.submit(make_job("unlucky", make_step(estimate=9.0, **step)))
    crash_repeatedly(site, "unlucky", losses, run_seconds=3.0)
    return site


def test_nothing_else_starts_on_a_worker_around_a_trial():
    site = open_suspect_site()
    submit_neighbours(site, count=200, estimate=0.5)
    site.run_until(
        lambda: (
            len(find_task(site, "unlucky").attempts) == 1
            and any(key.job == "unlucky" for _, key, _ in site.list_running())
        )
    )
    (name,) = (name for name, key, _ in site.list_running() if key.job == "unlucky")
    site.run(1.5)
    worker = site.workers[name]
    at = worker.start_times[[key.job for key, _ in worker.started].index("unlucky")]
    others = [
        started
        for (key, _), started in zip(worker.started, worker.start_times, strict=True)
        if key.job != "unlucky" and at - 0.3 < started < at + 1.5
    ]
    assert others == []


def test_a_trial_starts_only_once_the_log_tells_of_it():
    site = open_suspect_site()
    site.run(3.0)
    site.log_up = False
    site.run(5)
    assert [number for _, number in site.starts] == [1, 2]
    site.log_up = True
    site.run(1)
    assert [number for _, number in site.starts] == [1, 2, 3]


def test_a_worker_kept_for_a_trial_is_freed_if_the_job_is_cancelled():
    site = open_suspect_site()
    site.run(3.0)
    site.log_up = False
    site.run(1.0)
    assert any(worker.trial for worker in site.cell.workers.values())
    site.cell.cancel_job("unlucky", now=site.now)
    site.run(0.1)
    assert not any(worker.trial for worker in site.cell.workers.values())


def test_a_task_whose_workers_crash_by_chance_is_not_given_up():
    site = open_suspect_site(losses=3)
    site.run_until(lambda: site.state_of("unlucky") == "completed", limit=30)


def test_a_long_running_task_that_runs_well_is_no_longer_suspected():
    site = open_suspect_site(long_running=True)
    site.run(CLEARING_SECONDS + 10)
    assert find_task(site, "unlucky").losses == []
    crash_repeatedly(site, "unlucky", 2, run_seconds=3.0)
    site.run(10)
    assert [key.job for _, key, _ in site.list_running()] == ["unlucky"]


def test_tasks_of_a_domain_that_goes_dark_again_and_again_all_complete():
    site = open_crashing_site(12)
    site.run(0.5)
    records = submit_neighbours(site, count=60, estimate=6.0)
    for _ in range(4):
        site.run(1.5)
        for name in [row.name for row in site.cell.workers.values() if row.attempts][
            :4
        ]:
            if not site.workers[name].unreachable:
                site.crash(name)
        site.run(DOWN_SECONDS + 0.5)
    site.run(60)
    assert {site.state_of(record.job) for record in records} == {"completed"}


def test_a_loss_to_a_cut_is_taken_back_once_the_worker_answers():
    site = open_crashing_site()
    site.run(0.5)
    site.submit(make_job("j", make_step(long_running=True)))
    site.run(1)
    ((name, _, _),) = site.list_running()
    site.workers[name].unreachable = True
    site.run(7)
    assert len(find_task(site, "j").losses) == 1
    site.workers[name].unreachable = False
    site.run(1)
    assert find_task(site, "j").losses == []
    assert site.log["j"].occurrences[0].steps[0].tasks[0].losses == ()


def test_a_worker_that_left_as_announced_counts_for_nothing():
    site = open_crashing_site()
    site.run(0.5)
    site.submit(make_job("j", make_step(long_running=True)))
    site.run(1)
    ((name, _, _),) = site.list_running()
    worker = site.workers[name]
    worker.entry = msgspec.structs.replace(worker.entry, state=WorkerState.DRAINING)
    worker.unreachable = True
    site.run(8)
    assert find_task(site, "j").losses == []
    assert len(site.list_running()) == 1


@pytest.mark.parametrize("keeps_id", [False, True])
def test_crashes_count_that_are_learnt_only_after_the_lease(keeps_id):
    site = open_crashing_site(12, deadly=[DEADLY], keeps_id=keeps_id, down_seconds=8.0)
    site.run(0.5)
    submit_deadly(site)
    site.run(80)
    assert site.state_of("deadly") == "failed"
    assert site.count_task_starts(DEADLY) <= STARTS_MAX


@pytest.mark.parametrize("delay", [0.0, 0.3, 1.5, 4.0])
@pytest.mark.parametrize("keeps_id", [False, True])
@pytest.mark.parametrize(
    "step",
    [
        {"best_effort": True},
        {"gang": True, "count": 4},
        {"speculative": True, "per_worker_max": 1},
        {"checkpoints": True, "long_running": True},
    ],
    ids=["best-effort", "gang", "speculative", "long-running"],
)
def test_each_kind_of_task_that_crashes_its_workers_is_given_up(step, keeps_id, delay):
    site = open_crashing_site(12, deadly=[DEADLY], keeps_id=keeps_id, delay=delay)
    site.run(0.5)
    records = submit_neighbours(site, count=30, estimate=5.0)
    submit_deadly(site, **({"estimate": 9.0} | step))
    site.run(120)
    assert site.state_of("deadly") == "failed"
    assert site.count_task_starts(DEADLY) <= STARTS_MAX
    assert {site.state_of(record.job) for record in records} == {"completed"}


@pytest.mark.parametrize("count", [2, 6, 12])
def test_neighbours_of_many_deadly_tasks_all_complete(count):
    deadly = [TaskKey(JobId(f"d{index}"), 0, 0, 0) for index in range(count)]
    site = open_crashing_site(24, cores=16, deadly=deadly)
    site.run(0.5)
    records = []
    for index in range(20):
        records += [make_job(f"n{index}-{each}", make_step()) for each in range(6)]
        for record in records[-6:]:
            site.submit(record)
        if index < count:
            site.submit(make_job(f"d{index}", make_step()))
        site.run(0.5)
    site.run(90)
    assert {site.state_of(record.job) for record in records} == {"completed"}
    assert {site.state_of(key.job) for key in deadly} == {"failed"}
    assert max(site.count_task_starts(key) for key in deadly) <= STARTS_MAX


def test_a_job_with_a_deadly_task_is_stopped_as_a_whole():
    site = open_crashing_site(deadly=[DEADLY])
    site.run(0.5)
    submit_deadly(site, count=5, long_running=True)
    site.run_until(lambda: site.state_of("deadly") == "failed", limit=40)
    site.run(1)
    assert site.list_running() == []


def test_a_trial_of_a_task_larger_than_all_free_pieces_waits_for_one():
    site = open_crashing_site(4, cores=8)
    site.run(0.5)
    request = Resources(7000, 100)
    site.submit(make_job("unlucky", make_step(estimate=9.0, request=request)))
    crash_repeatedly(site, "unlucky", 2, run_seconds=3.0)
    site.submit(
        make_job(
            "urgent",
            make_step(count=12, estimate=4.0, request=Resources(4000, 100)),
            policy=make_policy(priority=0),
        )
    )
    site.run_until(lambda: site.state_of("unlucky") == "completed", limit=60)
    assert site.now > STEP_SECONDS


def test_a_suspect_is_not_moved_as_it_would_be_tried_anew():
    site = open_suspect_site(best_effort=True, checkpoints=True)
    site.run_until(site.list_running)
    site.run(3)
    (attempt,) = find_task(site, "unlucky").attempts
    attempt.speed_percent = 1
    assert not is_worth_moving(attempt, now=site.now)
    attempt.task.losses.clear()
    assert is_worth_moving(attempt, now=site.now)


def test_a_suspect_that_failed_on_all_workers_is_tried_on_one_of_them():
    site = open_suspect_site(long_running=True)
    task = find_task(site, "unlucky")
    task.avoided_workers |= {*site.cell.workers, "new-0", "new-1"}
    site.run_until(site.list_running, limit=15)


def test_what_a_worker_ran_that_left_as_announced_is_not_suspected_by_the_next_owner():
    site = open_crashing_site()
    site.run(0.5)
    record = make_job("j", make_step(long_running=True))
    site.submit(record)
    site.run(1)
    ((name, _, _),) = site.list_running()
    worker = site.workers[name]
    worker.entry = msgspec.structs.replace(worker.entry, state=WorkerState.DRAINING)
    site.run(0.1)
    worker.unreachable = True
    site.run(0.8)
    site.take_over([record])
    site.run(9)
    assert find_task(site, "j").losses == []
    assert len(site.list_running()) == 1


KIND = "kind-b"


def open_narrow_site(*, deadly=(), delay=0.0, narrow=2):
    """Return a site of eight workers, one or two of which are of a kind."""
    labels = dict.fromkeys(range(narrow), (KIND,))
    entries = [
        make_entry(f"w{index}", cores=16, labels=labels.get(index, ()))
        for index in range(8)
    ]
    site = CrashingCell(*entries, keeps_id=True, deadly=deadly, delay=delay)
    site.run(6)
    return site


def count_running(site, job):
    return sum(key.job == job for _, key, _ in site.list_running())


def crash_under(site, job, count):
    """Crash the worker that runs most of a job once all its tasks have run a while."""
    site.run_until(lambda: count_running(site, job) == count, limit=20)
    site.run(4)
    site.crash(max(site.workers, key=lambda name: len(site.workers[name].attempts)))
    site.run(DOWN_SECONDS + STEP_SECONDS)


@pytest.mark.parametrize("changes", [{"gang": True}, {"long_running": True}])
def test_tasks_with_more_suspects_than_workers_start_again(changes):
    # review/9: each suspect member of a gang wanted a worker for itself, for good
    site = open_narrow_site()
    site.submit(make_job("j", make_step(count=6, label=KIND, estimate=60.0, **changes)))
    for _ in range(2):
        crash_under(site, "j", 6)
    site.run_until(
        lambda: count_running(site, "j") == 6, limit=CALM_SECONDS + IDLE_SECONDS_MAX
    )
    site.run(10)
    assert count_running(site, "j") == 6


@pytest.mark.parametrize(
    ("delay", "starts_max"),
    [(0.0, 3), (0.3, 3), (1.5, 3), (4.0, 4)],
    ids=["at once", "soon", "in the trial", "after the trial"],
)
def test_a_deadly_gang_with_few_workers_is_given_up(delay, starts_max):
    # the other side of review/9: members that share a trial are judged by it
    site = open_narrow_site(deadly=[DEADLY], delay=delay)
    submit_deadly(site, gang=True, count=6, label=KIND, estimate=60.0)
    site.run_until(lambda: site.state_of("deadly") == "failed", limit=120)
    assert site.count_task_starts(DEADLY) <= starts_max


def open_site_with_suspects(count):
    """Return a site whose only worker of a kind has crashed twice under some tasks."""
    site = open_narrow_site(narrow=1)
    step = make_step(label=KIND, estimate=60.0, long_running=True, count=count)
    site.submit(make_job("j", step))
    for _ in range(2):
        crash_under(site, "j", count)
    return site


def test_a_job_does_not_wait_for_trial_after_trial_on_its_only_worker():
    # the class of review/8: one suspect after the other kept the worker for itself
    site = open_site_with_suspects(6)
    site.run_until(lambda: site.cell.workers["w0"].trial is not None)
    site.submit(make_job("new", make_step(label=KIND, estimate=0.3)))
    site.run_until(lambda: count_running(site, "new"), limit=IDLE_SECONDS_MAX)


def test_more_suspects_than_trials_in_time_start_again():
    # the class of review/9: single suspects are tried one round after the other
    site = open_site_with_suspects(6)
    site.run_until(
        lambda: count_running(site, "j") == 6, limit=CALM_SECONDS + IDLE_SECONDS_MAX
    )

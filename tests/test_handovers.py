"""The handover to the next owner, while workers fall silent; inherited own loads."""

import math

import pytest
from hypothesis import given, settings, strategies as st

from plantainhinge.fleet.model import WorkerReport

from .simulated_cell import (
    LEASE_SECONDS_MAX,
    SimulatedCell,
    SimulatedWorker,
    make_entry,
    make_job,
    make_step,
    start_one_task,
)


def make_silent(site, name):
    site.workers[name].unreachable = True
    site.run(0.7)


def fill_site():
    """Return a site of two full workers with as many jobs again that wait."""
    site = SimulatedCell(make_entry("w1", cores=4), make_entry("w2", cores=4))
    jobs = [make_job(f"j{index}", make_step(estimate=20.0)) for index in range(16)]
    for job in jobs:
        site.submit(job)
    site.run(1)
    assert site.count_starts() == 8
    return site, jobs


def list_started_jobs(site, name):
    return {task.job for task, _ in site.workers[name].started}


def add_worker(site, name):
    site.workers[name] = SimulatedWorker(make_entry(name), now=site.now)


@pytest.mark.parametrize("earlier_changes", [0, 1])
def test_inherited_tasks_wait_only_for_what_may_run_on_a_silent_worker(earlier_changes):
    site, jobs = fill_site()
    make_silent(site, "w1")
    may_run = {task.job for worker, task, _ in site.list_running() if worker == "w1"}
    for _ in range(earlier_changes):
        site.take_over(jobs)
        site.run(1)
    add_worker(site, "w3")
    site.take_over(jobs)
    site.run(0.5)
    assert len(list_started_jobs(site, "w3")) == 8
    assert not list_started_jobs(site, "w3") & may_run


def add_silent_entries(site, count):
    """Add another writer's entries to the directory, at which nobody answers."""
    for index in range(count):
        add_worker(site, f"odd{index}")
        site.workers[f"odd{index}"].unreachable = True
    site.update_workers()


def test_silent_entries_of_another_writer_hide_no_silent_worker_from_a_successor():
    site, jobs = fill_site()
    add_silent_entries(site, 5)
    make_silent(site, "w1")
    assert {row.worker for row in site.handover.silent} == {"w1"}
    assert {entry.worker for entry in site.handover.workers} == {"w1", "w2"}
    add_worker(site, "w3")
    site.take_over(jobs)
    site.run(0.5)
    assert len(list_started_jobs(site, "w3")) == 8


def test_silent_entries_of_another_writer_delay_no_inherited_task():
    site, jobs = fill_site()
    add_silent_entries(site, 5)
    add_worker(site, "w3")
    site.take_over(jobs)
    site.run(0.5)
    assert len(list_started_jobs(site, "w3")) == 8


@settings(max_examples=20)
@given(
    st.lists(st.dictionaries(st.integers(0, 9), st.integers(1, 5)), max_size=40),
)
def test_entries_that_come_go_and_change_hold_up_no_job(directories):
    site = SimulatedCell(make_entry("w1"))
    add_silent_entries(site, 10)
    job = make_job("j", make_step(count=4, estimate=0.5))
    site.submit(job)
    for directory in [*directories, {}, {0: 9}]:
        odd = [make_entry(f"odd{n}", incarnation=born) for n, born in directory.items()]
        site.cell.update_workers([make_entry("w1"), *odd], now=site.now)
        site.run(0.2)
    site.run(2)
    assert site.state_of("j") == "completed"
    assert {entry.worker for entry in site.handover.workers} == {"w1"}


def test_new_workers_that_answer_one_after_another_share_handovers():
    cell = SimulatedCell(*(make_entry(f"w{index}") for index in range(40))).cell
    written = 0
    for index, worker in enumerate(cell.workers.values()):
        now = 1.0 + index * 0.005
        report = WorkerReport(clock=now, incarnation=1, running=(), ended=())
        cell.handle_report(worker, report, sent=now, now=now)
        flush = cell.take_flush(now=now)
        if flush is not None and flush.handover is not None:
            written += 1
            cell.confirm_flush(flush)
    assert written <= 5


def test_workers_that_left_the_handover_get_no_start_before_they_are_in_it_again():
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    site.run(0.3)
    for worker in site.workers.values():
        worker.unreachable = True
    site.cell.update_workers([], now=site.now)
    site.run(LEASE_SECONDS_MAX + 4)
    assert not site.handover.workers
    site.log_up = False
    for worker in site.workers.values():
        worker.unreachable = False
    site.update_workers()
    site.submit(make_job("j"))
    site.run(1)
    assert site.count_starts() == 0
    site.log_up = True
    site.run(0.5)
    assert site.count_starts() == 1


def test_a_handover_of_an_owner_before_the_last_one_says_nothing_of_silent_workers():
    """The owner in between may have started more there without logging a handover."""
    site, jobs = fill_site()
    make_silent(site, "w1")
    handover = site.handover
    site.take_over(jobs)
    site.handover = handover
    add_worker(site, "w3")
    site.take_over(jobs)
    site.run(0.5)
    assert not site.workers["w3"].started


def test_a_worker_that_was_silent_gets_no_start_before_the_log_says_that_it_answers():
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    site.run(0.3)
    make_silent(site, "w1")
    site.log_up = False
    site.workers["w1"].unreachable = False
    site.submit(make_job("j", make_step(count=16, estimate=9.0)))
    site.run(1)
    assert not site.workers["w1"].started
    assert len(site.workers["w2"].started) == 8
    site.log_up = True
    site.run(0.5)
    assert len(site.workers["w1"].started) == 8


@pytest.mark.parametrize("silent_entries", [0, 5])
def test_workers_that_were_all_silent_at_once_get_starts_while_the_log_is_down(
    silent_entries,
):
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    add_silent_entries(site, silent_entries)
    site.run(0.3)
    site.log_up = False
    for name in ("w1", "w2"):
        site.workers[name].unreachable = True
    site.run(0.7)
    for name in ("w1", "w2"):
        site.workers[name].unreachable = False
    site.submit(make_job("j"))
    site.run(0.5)
    assert site.count_starts() == 1


# it kept its mark of before, and a next owner could have missed what was started there
def test_a_worker_that_the_handover_left_out_is_named_before_a_start_there():
    site = SimulatedCell(*(make_entry(name) for name in ("w1", "w2", "w3")))
    site.run(0.5)
    set_silent(site, ["w1", "w2"], True)
    site.cell.update_workers([site.workers["w3"].entry], now=site.now)
    site.run(12.0)
    assert [entry.worker for entry in site.handover.workers] == ["w3"]
    set_silent(site, ["w1", "w2"], False)
    site.update_workers()
    site.submit(make_job("j", make_step(count=24, estimate=9.0)))
    site.run_until(lambda: site.workers["w1"].started)
    assert "w1" in {entry.worker for entry in site.handover.workers}


def test_a_silent_worker_that_answers_the_new_owner_keeps_its_attempts():
    site, jobs = fill_site()
    make_silent(site, "w1")
    site.take_over(jobs)
    site.run(0.5)
    site.workers["w1"].unreachable = False
    site.run_until(
        lambda: all(site.state_of(job.job) == "completed" for job in jobs), limit=90
    )
    assert site.count_starts() == 16


def test_a_later_attempt_runs_on_though_the_handover_names_the_earlier_worker():
    """The handover was logged before the lease of the silent worker ended."""
    site, job, first = start_one_task(long_running=True)
    make_silent(site, first)
    handover = site.handover
    site.run_until(lambda: site.count_starts() == 2)
    site.handover = handover
    site.take_over([job])
    site.run(8)
    assert site.count_starts() == 2
    assert len(site.list_running()) == 1


@pytest.mark.parametrize("runs_seconds", [0.1, 1.0])
def test_the_end_of_a_later_attempt_counts_though_it_was_not_logged(runs_seconds):
    """The owner that started the later one logged neither its start nor its end."""
    site, job, first = start_one_task(estimate=20.0)
    make_silent(site, first)
    handover, log = site.handover, dict(site.log)
    site.run_until(lambda: site.count_starts() == 2)
    site.log_up, site.handover, site.log = False, handover, log
    (other,) = (worker for name, worker in site.workers.items() if name != first)
    (attempt,) = other.attempts.values()
    attempt.time_left = 0.0
    site.run(runs_seconds)
    site.log_up = True
    site.pending_flush = None
    site.take_over([job])
    site.run(LEASE_SECONDS_MAX + 2)
    assert site.count_starts() == 2
    assert site.state_of("j") == "completed"


def apply_event(site, event, worker, jobs):
    match event:
        case "silence" | "answer":
            site.workers[worker].unreachable = event == "silence"
        case "take over":
            site.take_over(jobs)
        case "log down" | "log up":
            site.log_up = event == "log up"


class RunChecks:
    """Checks that no task runs twice, nor starts after an end that was acknowledged.

    It doesn't matter whether the end was acknowledged before that start or later.

    Parameters
    ----------
    speculative : set of JobId
        Jobs whose tasks may run in several places at once.
    """

    def __init__(self, site, speculative=frozenset()):
        self.site = site
        self.speculative = speculative

    def check(self):
        tasks = [
            task
            for _, task, _ in self.site.list_running()
            if task.job not in self.speculative
        ]
        assert len(tasks) == len(set(tasks))
        done = {}
        for worker in self.site.workers.values():
            done |= worker.done_times
        for worker in self.site.workers.values():
            for (task, _), at in zip(worker.started, worker.start_times, strict=True):
                assert at <= done.get(task, at) or task.job in self.speculative


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["silence", "answer", "take over", "log down", "log up"]),
            st.sampled_from(["w1", "w2", "w3"]),
            st.sampled_from([0.1, 0.4, 1.5, 4.0, 7.0]),
        ),
        max_size=14,
    )
)
def test_no_task_runs_twice_while_owners_change_and_workers_fall_silent(events):
    site = SimulatedCell(*(make_entry(f"w{n}", cores=4) for n in (1, 2, 3)))
    jobs = [make_job(f"j{index}", make_step(estimate=3.0)) for index in range(20)]
    for job in jobs:
        site.submit(job)
    checks = RunChecks(site)
    for event, worker, seconds in events:
        apply_event(site, event, worker, jobs)
        for _ in range(round(seconds / 0.1)):
            site.run(0.1)
            checks.check()
    site.log_up = True
    for worker in site.workers.values():
        worker.unreachable = False
    site.run_until(
        lambda: all(site.state_of(job.job) == "completed" for job in jobs), limit=60
    )


WORKERS = ("w1", "w2", "w3", "w4", "w5")


def make_mixed_jobs(number):
    """Return jobs of each kind whose tasks a new owner may have to wait for."""
    return [
        *(make_job(f"s{number}-{n}", make_step(estimate=2.0)) for n in range(6)),
        make_job(f"g{number}", make_step(count=3, gang=True, estimate=2.0)),
        make_job(f"l{number}", make_step(count=2, long_running=True)),
    ]


def set_silent(site, names, silent):
    for name in names:
        site.workers[name].unreachable = silent


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.fixed_dictionaries(
            {
                "first": st.sets(st.sampled_from(WORKERS), max_size=2),
                "answers": st.booleans(),
                "log_up": st.booleans(),
                "second": st.sets(st.sampled_from(WORKERS), max_size=2),
                "owners": st.integers(1, 3),
                "seconds": st.sampled_from([0.2, 2.0, 7.0]),
            }
        ),
        min_size=1,
        max_size=3,
    )
)
def test_no_task_runs_twice_when_workers_fall_silent_before_owners_are_lost(episodes):
    site = SimulatedCell(*(make_entry(name, cores=4) for name in WORKERS))
    checks = RunChecks(site)
    jobs = []

    def run(seconds):
        for _ in range(round(seconds / 0.1)):
            site.run(0.1)
            checks.check()

    for number, episode in enumerate(episodes):
        new = make_mixed_jobs(number)
        jobs += new
        for job in new:
            site.submit(job)
        run(1.0)
        set_silent(site, episode["first"], True)
        run(0.8)
        site.log_up = episode["log_up"]
        if episode["answers"]:
            set_silent(site, episode["first"], False)
        run(0.4)
        set_silent(site, episode["second"], True)
        run(0.8)
        for _ in range(episode["owners"]):
            site.take_over(jobs)
            run(episode["seconds"])
        site.log_up = True
        set_silent(site, WORKERS, False)
        run(1.0)
    finite = [job.job for job in jobs if not job.job.startswith("l")]
    site.run_until(
        lambda: (
            all(site.state_of(job) == "completed" for job in finite)
            and len(site.list_running()) == 2 * len(episodes)
        ),
        limit=60,
    )


def test_a_new_owner_inherits_the_forecasts_of_own_loads():
    site = SimulatedCell(make_entry("w1"))
    step = make_step(long_running=True, image="front", target_seconds=0.05)
    job = make_job("j", step)
    site.submit(job)
    site.workers["w1"].tail_latency = lambda worker, attempt: (
        0.011 / (1 - 0.42 - 0.2 * math.sin(2 * math.pi * worker.now / 10))
    )
    site.run(25)
    site.take_over([job])
    forecast = site.cell.jobs[job.job].occurrences[0][0].own_load
    loads = [forecast.predict(at) for at in (27.5, 32.5)]
    assert loads == pytest.approx([0.22, 0.62], abs=0.08)

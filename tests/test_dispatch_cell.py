"""What the owner of a cell does when workers, answers and the log fail."""

import msgspec
import pytest

from plantainhinge.core.resources import Resources
from plantainhinge.dispatch.book import open_job
from plantainhinge.dispatch.leases import LeaseTerms
from plantainhinge.fleet.handover import Handover
from plantainhinge.fleet.model import (
    EndCause,
    EndedRow,
    OrderAnswer,
    OrderOutcome,
    WorkerState,
)
from plantainhinge.jobs.model import JobSpec, Recurrence, Step

from .cell_site import LEASE_BOUND, ModelSite, make_entry, make_job, make_policy

SMALL = Resources(1000, 100)


def make_step(**changes):
    return Step(**({"request": SMALL, "estimate": 1.0} | changes))


def test_steps_run_after_those_that_they_depend_on():
    site = ModelSite(make_entry("w1"), make_entry("w2"))
    job = make_job("j", make_step(count=3), make_step(count=2, depends_on=(0,)))
    site.submit(job)
    site.run(0.9)
    assert {task.step for _, task, _ in site.list_running()} == {0}
    site.run_until(lambda: site.state_of("j") == "completed", limit=4)
    assert site.count_starts() == 5


def test_a_silent_worker_keeps_its_tasks_until_their_lease_is_over():
    site = ModelSite(make_entry("w1"), make_entry("w2"))
    site.submit(make_job("j", make_step(lasting=True, count=1)))
    site.run(0.5)
    ((first, _, _),) = site.list_running()
    site.workers[first].silent = True
    silent_at = site.now
    site.run_until(lambda: site.count_starts() == 2, limit=30)
    waited = site.now - silent_at
    assert 6.0 <= waited <= LEASE_BOUND + 0.5
    assert len(site.list_running()) == 1


def test_an_end_is_acknowledged_only_once_the_log_holds_it():
    site = ModelSite(make_entry("w1"))
    site.run(0.1)
    site.log_up = False
    site.submit(make_job("j"))
    site.run(3)
    worker = site.workers["w1"]
    assert [row.number for row in worker.ended] == [1]
    site.log_up = True
    site.run(0.5)
    assert worker.ended == []
    assert site.state_of("j") == "completed"


def test_steps_go_on_while_the_log_is_down():
    site = ModelSite(make_entry("w1"))
    site.run(0.1)
    site.log_up = False
    site.submit(make_job("j", make_step(), make_step(depends_on=(0,))))
    site.run(3)
    assert site.count_starts() == 2
    assert site.state_of("j") == "queued"


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


def test_a_new_owner_adopts_what_runs_and_starts_nothing_twice():
    site = ModelSite(make_entry("w1"), make_entry("w2"))
    jobs = [make_job(f"j{index}", make_step(estimate=3.0)) for index in range(6)]
    for job in jobs:
        site.submit(job)
    site.run(1)
    site.take_over(jobs)
    site.run_until(lambda: all(site.state_of(j.job) == "completed" for j in jobs))
    assert site.count_starts() == 6


def test_a_new_owner_waits_for_a_worker_that_it_cannot_see():
    site = ModelSite(make_entry("w1"), make_entry("w2"))
    job = make_job("j", make_step(lasting=True))
    site.submit(job)
    site.run(0.5)
    ((first, _, _),) = site.list_running()
    site.workers[first].silent = True
    site.take_over([job])
    site.run(5.5)
    assert site.count_starts() == 1
    site.run(1.5)
    assert site.count_starts() == 2
    assert len(site.list_running()) == 1


def test_a_new_owner_waits_no_longer_than_the_leases_of_the_last_one():
    terms = LeaseTerms(length=6.0, length_max=30.0)
    site = ModelSite(make_entry("w1"), make_entry("w2"), terms=terms)
    job = make_job("j", make_step(lasting=True))
    site.submit(job)
    site.run(3.5)
    ((first, _, _),) = site.list_running()
    site.workers[first].silent = True
    site.take_over([job])
    site.run_until(lambda: site.count_starts() == 2, limit=LEASE_BOUND + 0.5)
    assert len(site.list_running()) == 1


def test_a_new_owner_without_a_handover_waits_for_the_longest_lease():
    terms = LeaseTerms(length=6.0, length_max=12.0)
    site = ModelSite(make_entry("w1"), make_entry("w2"), terms=terms)
    job = make_job("j", make_step(lasting=True))
    site.submit(job)
    site.run(0.5)
    ((first, _, _),) = site.list_running()
    site.workers[first].silent = True
    site.handover = Handover()
    site.take_over([job])
    site.run(11.5)
    assert site.count_starts() == 1
    site.run(2.0)
    assert site.count_starts() == 2


def test_a_new_owner_starts_new_jobs_while_it_waits_for_a_worker():
    site = ModelSite(make_entry("w1"), make_entry("w2"))
    site.workers["w1"].silent = True
    site.take_over([])
    site.submit(make_job("j"))
    site.run(0.2)
    assert site.count_starts() == 1


def test_an_older_owner_is_fenced():
    site = ModelSite(make_entry("w1"))
    site.run(0.2)
    site.workers["w1"].fence = 5
    site.submit(make_job("j"))
    site.run(0.2)
    assert site.cell.fenced
    assert site.count_starts() == 0


def test_a_cancelled_job_is_stopped_and_starts_nothing():
    site = ModelSite(make_entry("w1", cores=2))
    site.submit(make_job("j", make_step(count=5, estimate=9.0)))
    site.run(0.5)
    site.cell.cancel_job("j", now=site.now)
    site.run(0.5)
    assert site.list_running() == []
    assert site.state_of("j") == "cancelled"
    site.run(2)
    assert site.count_starts() == 2


def test_a_job_fails_after_its_attempts_on_different_workers():
    site = ModelSite(make_entry("w1"), make_entry("w2"))
    for worker in site.workers.values():
        worker.fails = True
    site.submit(make_job("j", policy=make_policy(attempts=2)))
    site.run_until(lambda: site.state_of("j") == "failed")
    starts = [len(worker.started) for worker in site.workers.values()]
    assert starts == [1, 1]


def test_a_lasting_task_is_restarted_however_often_it_fails():
    site = ModelSite(make_entry("w1"), make_entry("w2"))
    site.submit(make_job("j", make_step(lasting=True)))
    for _ in range(4):
        site.run(2)
        for worker in site.workers.values():
            for key in list(worker.runs):
                worker.runs[key].lasting = False
                worker.runs[key].left = 0.0
                worker.fails = True
    site.run(10)
    assert len(site.list_running()) == 1


def test_a_draining_worker_gets_nothing_and_loses_lasting_tasks():
    site = ModelSite(make_entry("w1"), make_entry("w2"))
    site.submit(make_job("j", make_step(lasting=True)))
    site.run(0.5)
    ((first, _, _),) = site.list_running()
    worker = site.workers[first]
    worker.entry = msgspec.structs.replace(
        worker.entry, state=WorkerState.DRAINING, remaining=2.0
    )
    site.see()
    site.run(0.5)
    ((second, _, _),) = site.list_running()
    assert second != first


def test_a_closed_domain_gets_no_starts():
    site = ModelSite(make_entry("w1", domain="a"), make_entry("w2", domain="b"))
    site.cell.closed_domains = frozenset({"a"})
    site.submit(make_job("j", make_step(count=4)))
    site.run(0.5)
    assert {worker for worker, _, _ in site.list_running()} == {"w2"}


def test_no_worker_is_given_more_than_it_has():
    site = ModelSite(make_entry("w1", cores=3), make_entry("w2", cores=2))
    site.submit(make_job("j", make_step(count=9)))
    site.run(0.2)
    per_worker = [len(worker.runs) for worker in site.workers.values()]
    assert per_worker == [3, 2]


@pytest.mark.parametrize("limit", [1, 2])
def test_at_most_so_many_tasks_of_a_step_share_a_worker(limit):
    site = ModelSite(make_entry("w1"), make_entry("w2"))
    site.submit(make_job("j", make_step(count=6, per_worker_max=limit)))
    site.run(0.2)
    assert [len(worker.runs) for worker in site.workers.values()] == [limit, limit]


def test_a_gang_starts_whole_or_not_at_all():
    site = ModelSite(make_entry("w1", cores=2), make_entry("w2", cores=2))
    site.submit(make_job("j1", make_step(count=5, gang=True)))
    site.submit(make_job("j2", make_step(count=4, gang=True)))
    site.run(0.2)
    running = site.list_running()
    assert {task.job for _, task, _ in running} == {"j2"}
    assert len(running) == 4


def test_progress_of_a_flush_that_failed_is_logged_later():
    site = ModelSite(make_entry("w1"))
    site.run(0.1)
    site.log_up = False
    site.submit(make_job("j"))
    site.run(2)
    assert site.cell.jobs == {}
    site.log_up = True
    site.run(0.2)
    assert site.state_of("j") == "completed"


def test_a_worker_gets_no_start_before_the_log_names_it():
    site = ModelSite(make_entry("w1"), log_up=False)
    site.submit(make_job("j"))
    site.run(2)
    assert site.count_starts() == 0
    site.log_up = True
    site.run(0.2)
    assert site.count_starts() == 1


def test_a_new_owner_waits_for_a_worker_that_left_the_directory():
    site = ModelSite(make_entry("w1"), make_entry("w2"))
    job = make_job("j", make_step(lasting=True))
    site.submit(job)
    site.run(0.5)
    ((first, _, _),) = site.list_running()
    hidden = site.workers.pop(first)
    hidden.silent = True
    site.take_over([job])
    site.workers[first] = hidden
    site.run(5.5)
    assert site.count_starts() == 1
    site.run(1.5)
    assert site.count_starts() == 2


def test_a_new_owner_reaches_a_worker_that_left_the_directory():
    site = ModelSite(make_entry("w1"), make_entry("w2"))
    job = make_job("j", make_step(lasting=True))
    site.submit(job)
    site.run(0.5)
    ((first, _, _),) = site.list_running()
    unlisted = site.workers.pop(first)
    site.take_over([job])
    site.workers[first] = unlisted
    site.run(10)
    assert site.count_starts() == 1
    assert len(site.list_running()) == 1


def test_a_new_owner_knows_what_images_do_to_each_other():
    site = ModelSite(make_entry("w1"))
    site.cell.weights.set("front", "index", 2.5, 0.0)
    site.run(0.2)
    site.take_over([])
    assert site.cell.weights.find("front", "index", site.now) == 2.5


def test_a_job_handed_in_again_before_its_end_is_logged_runs_once():
    site = ModelSite(make_entry("w1"))
    job = make_job("j")
    site.submit(job)
    site.run(0.5)
    site.log_up = False
    site.run(1)
    assert site.cell.jobs == {}
    site.submit(job)
    site.run(2)
    assert site.count_starts() == 1


def test_a_failure_counts_once_whoever_hears_of_it():
    """The new owner adopts the second attempt before it hears of the first."""
    site = ModelSite(make_entry("w1"), make_entry("w2", cores=16))
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


def test_a_failure_that_the_log_holds_is_not_counted_again():
    site = ModelSite(make_entry("w1"))
    site.workers["w1"].fails = True
    job = make_job("j", policy=make_policy(attempts=3))
    site.submit(job)
    site.run_until(lambda: "j" in site.log and site.count_starts() == 2)
    worker = site.workers["w1"]
    worker.ended = [EndedRow(1, *worker.started[0], EndCause.FAILED, "")]
    site.take_over([job])
    site.run(20)
    assert site.count_starts() == 3


def test_a_gang_fails_after_its_attempts_whichever_member_fails():
    site = ModelSite(make_entry("w1"), make_entry("w2"))
    job = make_job("j", make_step(count=2, gang=True), policy=make_policy(attempts=2))
    site.submit(job)
    for position in (0, 1):
        site.run_until(lambda: len(site.list_running()) == 2)
        for worker in site.workers.values():
            for key in list(worker.runs):
                failed = key[0].position == position
                worker._end(key, EndCause.FAILED if failed else EndCause.BROKEN)
    site.run(0.5)
    assert site.state_of("j") == "failed"
    assert site.count_starts() == 4


def test_an_occurrence_is_due_by_its_own_time():
    spec = JobSpec(
        payload="work", steps=(make_step(),), recurrence=Recurrence(3, 5.0, 10.0)
    )
    record = msgspec.structs.replace(make_job("j"), spec=spec)
    job = open_job(record, None, wall=30.0)
    assert [steps[0].due for steps in job.occurrences.values()] == [7.25, 17.25, 27.25]


def test_occurrences_run_at_their_times_and_may_overlap():
    site = ModelSite(make_entry("w1"))
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
    site.cell.take_start_answer(late.run, unknown, now=site.now)
    site.run(2.0)
    worker.start(late.order, late.run.task.step.spec)
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
    site.cell.take_start_answer(late.run, unknown, now=site.now)
    site.run(5.5)
    assert site.count_starts() == 0
    site.run_until(lambda: site.state_of("j") == "completed", limit=4)


def test_new_lasting_tasks_leave_room_for_work_that_comes_and_goes():
    site = ModelSite(make_entry("w1", cores=10), make_entry("w2", cores=10))
    step = make_step(count=20, lasting=True)
    site.submit(make_job("watch", step))
    site.run(0.5)
    assert [len(worker.runs) for worker in site.workers.values()] == [9, 9]
    site.submit(make_job("lookup", make_step(count=2)))
    site.run(0.2)
    assert site.count_starts() == 20


def test_a_lasting_task_that_ran_before_may_use_all_room():
    site = ModelSite(make_entry("w1", cores=10), make_entry("w2", cores=10))
    site.submit(make_job("watch", make_step(count=18, lasting=True)))
    site.run(0.5)
    silent = site.workers["w2"]
    for key in list(silent.runs):
        silent._end(key, EndCause.FAILED)
    silent.entry = msgspec.structs.replace(silent.entry, state=WorkerState.DRAINING)
    site.see()
    site.run(0.5)
    assert len(site.workers["w1"].runs) == 10


def test_a_lasting_task_that_ran_under_an_earlier_owner_may_use_all_room():
    site = ModelSite(make_entry("w1", cores=10), make_entry("w2", cores=10))
    job = make_job("watch", make_step(count=18, lasting=True))
    site.submit(job)
    site.run(0.5)
    lost = site.workers["w2"]
    lost.runs.clear()
    lost.entry = msgspec.structs.replace(lost.entry, born=2, state=WorkerState.DRAINING)
    lost.fence, lost.now = 0, 0.0
    site.take_over([job])
    site.run(0.5)
    assert len(site.workers["w1"].runs) == 10


def test_new_lasting_tasks_leave_headroom_but_not_for_ever():
    site = ModelSite(make_entry("w1"), make_entry("w2"))
    site.submit(make_job("a", make_step(lasting=True, count=14)))
    site.run(0.5)
    site.submit(make_job("b", make_step(lasting=True, count=2)))
    site.run(29)
    assert {key.job for _, key, _ in site.list_running()} == {"a"}
    site.run(3)
    assert len(site.list_running()) == 16


def test_a_worker_that_fails_all_it_gets_does_not_draw_the_work():
    site = ModelSite(*(make_entry(f"w{index}") for index in range(4)))
    site.workers["w0"].fails_at_once = True
    site.run(0.2)
    for index in range(60):
        site.submit(make_job(f"j{index}", make_step(count=6, estimate=1.0)))
        site.run(0.4)
    site.run(5)
    states = [site.state_of(f"j{index}") for index in range(60)]
    assert states.count("completed") == 60
    assert len(site.workers["w0"].started) < site.count_starts() / 20


def test_a_last_attempt_waits_for_a_worker_that_has_not_failed_the_task():
    site = ModelSite(make_entry("w1", cores=2), make_entry("w2", cores=1))
    site.workers["w1"].fails = True
    site.run(0.2)
    site.submit(make_job("busy", make_step(estimate=4.0, per_worker_max=1, count=2)))
    site.run(0.2)
    site.workers["w1"].runs.clear()
    site.submit(make_job("j", make_step(estimate=0.2)))
    site.run_until(lambda: site.state_of("j") in ("completed", "failed"), limit=15)
    assert site.state_of("j") == "completed"


def test_a_task_returns_to_the_only_worker_that_can_take_it():
    site = ModelSite(make_entry("w1"))
    site.workers["w1"].fails = True
    site.run(0.2)
    site.submit(make_job("j", make_step(estimate=0.2)))
    site.run(0.4)
    site.workers["w1"].fails = False
    site.run_until(lambda: site.state_of("j") == "completed", limit=15)


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
    worker.start(first.order, first.run.task.step.spec)
    unknown = OrderAnswer(outcome=OrderOutcome.UNKNOWN)
    site.cell.take_start_answer(first.run, unknown, now=site.now)
    first.run.retry_at = site.now
    site.cell.decide(now=site.now, wall=site.now)
    site.cell.take_commands()
    if done:
        worker.advance(1.1)
    refused = OrderAnswer(outcome=outcome)
    site.cell.take_start_answer(first.run, refused, now=site.now)
    decide(site)
    site.run_until(lambda: site.state_of("j") == "completed", limit=4)
    assert site.count_starts() == 1

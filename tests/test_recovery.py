"""Jobs survive failures, as checked from the workers' point of view.

``harness.Site.check`` asserts after each tick that no worker exceeds its capacity,
no task runs in two places, no attempt starts twice, each evicted task resumes from
its checkpoint, nothing starts in a domain later than the limit after it was taken
out, and no final state changes.
"""

import pytest

from plantainhinge.adapters.peers_grpc import CANCEL
from plantainhinge.core.errors import UncertainError
from plantainhinge.core.messages import CancelJob
from plantainhinge.core.resources import Resources
from plantainhinge.core.states import AttemptOutcome, TaskState
from plantainhinge.ledgers.leases import (
    CLOCK_DRIFT_RATIO,
    LEASE_SECONDS,
    READING_AGE_SECONDS_MAX,
)
from plantainhinge.placement.drain import DrainLimits
from tests.harness import TICK_SECONDS, run_site

JOBS = [f"j{n}" for n in range(6)]
KILL_POINTS = 40
LEASE_LIFETIME_SECONDS = (LEASE_SECONDS + READING_AGE_SECONDS_MAX) * (
    1 + CLOCK_DRIFT_RATIO
) + 2


def submit_all(site, run_seconds=8.0):
    for task in JOBS:
        site.submit(task, run_seconds=run_seconds)


def resubmit_unknown(site, run_seconds=8.0):
    owner = site.find_owner("ledger.0")
    known = owner.scheduler.ledgers[0].state.tasks if owner else JOBS
    for task in JOBS:
        if task not in known:
            site.submit(task, run_seconds=run_seconds)


def await_finished(site, limit=200.0):
    end = site.now + limit
    while not site.is_final(*JOBS):
        assert site.now < end, "the jobs did not end"
        resubmit_unknown(site)
        site.advance(2.0)
    assert {task: site.query(task).state for task in JOBS} == dict.fromkeys(
        JOBS, TaskState.FINISHED
    )


def await_running(site):
    site.await_state(lambda: len(site.starts) >= len(JOBS))


def test_each_job_starts_and_finishes_once():
    with run_site() as site:
        submit_all(site)
        await_finished(site)
        assert len(site.starts) == len(JOBS)


@pytest.mark.parametrize("kill_after", range(1, KILL_POINTS + 1))
def test_owner_killed_after_any_effect_loses_and_duplicates_no_job(kill_after):
    with run_site() as site:
        submit_all(site)
        site.advance(TICK_SECONDS * 2)
        site.effects, site.kill_after = 0, kill_after
        site.advance(3.0)
        site.set_domain("d1", "out")
        site.advance(20.0)
        site.set_domain("d1", "in")
        await_finished(site)
        assert site.effects > KILL_POINTS


def lose_log(site):
    site.log.down = True
    site.advance(3600.0)
    site.log.down = False


def lose_answers(site):
    site.log.lose_answers = 20


def duplicate_appends(site):
    site.log.duplicate = True


def pause_owners(site):
    for owner in {site.find_owner(s) for s in ("ledger.0", "cell.d1", "cell.d2")}:
        owner.paused = True
        site.advance(12.0)
        owner.paused = False


def pause_owner_past_leases(site):
    owner = site.find_owner("cell.d1")
    owner.paused = True
    site.advance(LEASE_LIFETIME_SECONDS + 30.0)
    owner.paused = False


def disconnect_worker(site):
    site.cut.add("d1-w0")
    site.advance(40.0)
    site.cut.clear()


def disconnect_worker_briefly(site):
    site.cut.add("d1-w0")
    site.advance(4.0)
    site.cut.clear()


def disconnect_worker_then_kill_owner(site):
    site.cut.add("d1-w0")
    site.kill(site.find_owner("cell.d1").name)
    site.advance(40.0)
    site.cut.clear()


def restart_worker(site):
    site.restart_worker("d1-w0")


def restart_worker_under_new_owner(site):
    site.kill(site.find_owner("cell.d1").name)
    site.restart_worker("d1-w0")


def take_domain_out_and_back(site):
    site.set_domain("d1", "out")
    site.advance(1.0)
    site.set_domain("d1", "in")
    site.advance(0.5)
    site.set_domain("d1", "out")
    site.advance(6.0)
    site.set_domain("d1", "in")


def lose_all_processes(site):
    for name in list(site.processes):
        site.kill(name)
    site.advance(5.0)
    for name in site.names:
        site.start_process(name)


FAULTS = [
    lose_log,
    lose_answers,
    duplicate_appends,
    pause_owners,
    pause_owner_past_leases,
    disconnect_worker,
    disconnect_worker_briefly,
    disconnect_worker_then_kill_owner,
    restart_worker,
    restart_worker_under_new_owner,
    take_domain_out_and_back,
    lose_all_processes,
]


@pytest.mark.parametrize("delay", [0.25, 1.0, 2.5])
@pytest.mark.parametrize("fault", FAULTS)
def test_fault_loses_and_duplicates_no_job(fault, delay):
    with run_site() as site:
        submit_all(site)
        site.advance(delay)
        fault(site)
        await_finished(site, limit=8000.0)


def test_leases_survive_a_log_outage_of_an_hour():
    with run_site() as site:
        submit_all(site, run_seconds=4000.0)
        await_running(site)
        site.log.down = True
        site.advance(3600.0)
        assert not site.ends
        site.log.down = False
        await_finished(site, limit=1000.0)
        assert len(site.starts) == len(JOBS)


def test_task_is_not_replaced_while_its_unreachable_worker_may_run_it():
    with run_site() as site:
        submit_all(site, run_seconds=500.0)
        await_running(site)
        site.cut.add("d1-w0")
        cut_at = site.now
        site.await_state(lambda: len(site.starts) > len(JOBS))
        assert site.now - cut_at >= LEASE_SECONDS


def test_start_that_arrives_after_its_stop_does_not_run():
    with run_site() as site:
        site.hold_starts = True
        submit_all(site)
        site.await_state(lambda: site.held)
        site.set_domain("d1", "out")
        site.set_domain("d2", "out")
        site.advance(3.0)
        before = dict(site.starts)
        site.deliver_held()
        assert site.starts == before


def test_start_delayed_too_long_does_not_run():
    with run_site() as site:
        site.hold_starts = True
        submit_all(site)
        site.await_state(lambda: site.held)
        for name in list(site.processes):
            site.kill(name)
        site.now += READING_AGE_SECONDS_MAX + 1.0
        site.deliver_held()
        assert not site.starts


def test_paused_process_sends_no_start_after_the_domain_was_taken_out():
    with run_site() as site:
        submit_all(site)
        owner = site.find_owner("cell.d1")
        site.await_state(lambda: has_queued_start(owner))
        owner.paused = True
        site.set_domain("d1", "out")
        site.advance(3.5)
        owner.paused = False
        site.advance(TICK_SECONDS)
        site.check()


def has_queued_start(process):
    return any("start" in call[0].__name__ for call in process.executor.calls)


def test_offers_and_closures_redelivered_after_the_end_start_nothing():
    with run_site() as site:
        submit_all(site)
        site.advance(0.5)
        site.kill(site.find_owner("ledger.0").name)
        await_finished(site)
        site.advance(READING_AGE_SECONDS_MAX + 5.0)
        starts = dict(site.starts)
        site.deliver_again(list(site.delivered))
        site.advance(10.0)
        assert site.starts == starts


def test_tasks_are_not_replaced_while_an_owner_cut_off_from_the_log_renews():
    with run_site() as site:
        submit_all(site, run_seconds=300.0)
        await_running(site)
        old = site.find_owner("cell.d1")
        site.log_cut.add(old.name)
        others = set(site.names) - {old.name}
        site.cut.update((name, "d1-w0") for name in others)
        site.advance(200.0)
        assert site.find_owner("cell.d1") is not old
        assert site.workers["d1-w0"].list_running()
        site.log_cut.clear()
        site.cut.clear()
        await_finished(site, 1000.0)


def test_job_is_rejected_only_once_all_capacities_are_known():
    with run_site() as site:
        site.domains["d3"] = "in"
        site.publish()
        site.submit("big", kind="huge")
        site.advance(12.0)
        assert not site.is_final("big")
        site.add_worker("d3-w0", "d3")
        site.await_state(lambda: site.is_final("big"), 15.0)


@pytest.mark.parametrize("late", [0.0, 0.25, 0.5, 0.75, 1.0])
def test_attempt_whose_closure_is_undecided_is_not_started(late):
    with run_site() as site:
        site.hold_starts = True
        submit_all(site, run_seconds=60.0)
        site.await_state(lambda: site.held)
        site.held.clear()
        workers = {"d1-w0", "d1-w1"}
        site.cut |= workers
        cell = site.find_owner("cell.d1").scheduler.cells["d1"]
        end = max(cell.workers.readings[w].received_at for w in workers)
        site.advance(end + LEASE_LIFETIME_SECONDS - 1.5 + late - site.now)
        site.log.down = True
        site.advance(TICK_SECONDS)
        site.cut -= workers
        site.hold_starts = False
        site.advance(3.0)
        site.log.down = False
        await_finished(site, 500.0)


@pytest.mark.parametrize("order", ["abc", "bca", "cab"])
def test_attempts_of_a_failed_domain_are_replaced_without_extra_delay(order):
    domains = dict(zip(order, ["d1", "d2", "d3"], strict=True))
    with run_site(process_domains=domains) as site:
        submit_all(site, run_seconds=500.0)
        await_running(site)
        dark = {name for name, domain in domains.items() if domain == "d1"}
        lost = [ref for ref, start in site.starts.items() if "d1" in start[0]]
        for name in dark:
            site.kill(name)
        site.cut.update({"d1-w0", "d1-w1"})
        site.set_domain("d1", "out")
        site.advance(LEASE_LIFETIME_SECONDS + 25.0)
        assert lost
        states = site.find_owner("ledger.0").scheduler.ledgers[0].state.tasks
        for task, attempt in lost:
            assert states[task].attempt > attempt or states[task].state.value != (
                "assigned"
            )


@pytest.mark.parametrize("listing", ["drops it", "flaps", "keeps the dead"])
def test_absence_from_the_list_does_not_prove_that_an_owner_ended(listing):
    with run_site() as site:
        submit_all(site, run_seconds=300.0)
        await_running(site)
        old = site.find_owner("cell.d1")
        site.log_cut.add(old.name)
        others = set(site.names) - {old.name}
        site.cut.update((name, "d1-w0") for name in others)
        for tick in range(100):
            gone = listing == "drops it" or (listing == "flaps" and tick % 4 < 2)
            site.unlisted = {old.name} if gone else set()
            site.advance(1.0)
        assert site.workers["d1-w0"].list_running()
        assert len(site.starts) == len(JOBS)


def test_tasks_move_from_a_worker_that_fails_every_start():
    with run_site() as site:
        site.failing.update({"d1-w0", "d1-w1"})
        submit_all(site)
        await_finished(site, 600.0)
        assert max(site.query(task).attempts for task in JOBS) > 1


def test_job_too_large_for_any_worker_fails_at_once_with_a_reason():
    with run_site() as site:
        site.submit("big", kind="huge")
        site.await_state(lambda: site.is_final("big"), 5.0)
        account = site.query("big")
        assert account.state is TaskState.FAILED
        assert "needs" in account.reason


@pytest.mark.parametrize("delay", [0.0, 0.25, 0.5, 1.0, 2.0, 3.0, 4.5, 5.0, 6.0])
def test_cancelled_job_ends_cancelled_or_finished(delay):
    with run_site() as site:
        site.submit("j", run_seconds=4.0)
        site.advance(TICK_SECONDS * 2 + delay)
        site.ask(CANCEL, CancelJob(task="j", team="t"))
        site.await_state(lambda: site.is_final("j"))
        finished = any(end[0] is AttemptOutcome.FINISHED for end in site.ends.values())
        expected = TaskState.FINISHED if finished else TaskState.CANCELLED
        assert site.query("j").state is expected
        site.advance(5.0)
        assert not any(worker.list_running() for worker in site.workers.values())


def test_burst_of_urgent_jobs_is_not_delayed_by_the_ramp():
    with run_site(jobs_urgent=True, workers_per_domain=60) as site:
        for n in range(100):
            site.submit(f"u{n}")
        site.await_state(lambda: len(site.starts) == 100, 5.0)


def test_job_submitted_twice_runs_once():
    with run_site() as site:
        answers = [site.submit("j"), site.submit("j")]
        site.await_state(lambda: site.is_final("j"))
        answers.append(site.submit("j"))
        site.advance(20.0)
        assert len(site.starts) == 1
        assert {answer.result().task for answer in answers} == {"j"}


def test_submission_undecided_by_the_log_is_reported_as_uncertain():
    with run_site() as site:
        ledger = site.find_owner("ledger.0").scheduler.ledgers[0]
        site.await_state(lambda: not ledger.replica.has_undecided())
        answer = site.submit("j")
        site.log.lose_answers = 100
        site.advance(TICK_SECONDS * 2)
        site.log.down = True
        site.advance(10.0)
        assert isinstance(answer.exception(), UncertainError)
        site.log.down = False
        site.await_state(lambda: site.is_final("j"))


def test_domain_taken_out_is_drained_and_its_jobs_finish_elsewhere():
    with run_site() as site:
        submit_all(site, run_seconds=60.0)
        await_running(site)
        site.set_domain("d1", "out")
        site.advance(DrainLimits().grace_seconds + 5.0)
        for worker in site.workers.values():
            assert worker.domain == "d2" or not worker.list_running()
        await_finished(site, 600.0)
        assert {end[0] for end in site.ends.values()} == {
            AttemptOutcome.EVICTED,
            AttemptOutcome.FINISHED,
        }


@pytest.mark.parametrize("ticks", range(1, 9))
def test_jobs_assigned_to_a_domain_taken_out_finish_elsewhere(ticks):
    with run_site() as site:
        submit_all(site)
        site.advance(ticks * TICK_SECONDS)
        site.kill(site.find_owner("cell.d1").name)
        site.set_domain("d1", "out")
        await_finished(site, 120.0)


def test_stream_is_not_released_while_a_start_is_in_flight():
    with run_site() as site:
        submit_all(site)
        owner = site.find_owner("cell.d1")
        site.await_state(lambda: has_queued_start(owner))
        cell = owner.scheduler.cells["d1"]
        owner.scheduler.stop()
        for _ in range(4):
            owner.scheduler.tick([], site.now)
        assert not cell._released
        site.await_state(owner.scheduler.has_stopped, 5.0)


def test_planned_stop_hands_over_without_waiting_for_the_lease():
    with run_site() as site:
        submit_all(site, run_seconds=20.0)
        await_running(site)
        leaving = site.find_owner("cell.d1")
        leaving.scheduler.stop()
        site.await_state(leaving.scheduler.has_stopped, 2.0)
        site.kill(leaving.name)
        site.await_state(lambda: site.find_owner("cell.d1") is not None, 3.0)
        await_finished(site)
        assert len(site.starts) == len(JOBS)


def test_closed_attempt_is_forgotten_everywhere():
    with run_site() as site:
        submit_all(site)
        await_finished(site)
        site.advance(READING_AGE_SECONDS_MAX + 5.0)
        for process in site.processes.values():
            for cell in process.scheduler.cells.values():
                assert not cell.state.attempts
        assert not any(worker._tombstones for worker in site.workers.values())


def test_a_task_under_which_worker_after_worker_restarts_is_given_up():
    with run_site() as site:
        site.submit("deadly", run_seconds=500.0)
        site.submit("neighbour", run_seconds=500.0)
        starts = 0
        for _ in range(8):
            site.advance(40.0)
            running = [
                name
                for name, worker in site.workers.items()
                if any(ref[0] == "deadly" for ref in worker.list_running())
            ]
            starts += len(running)
            for name in running:
                site.restart_worker(name)
        assert starts == 5
        site.await_state(lambda: site.is_final("deadly"))
        status = site.query("deadly")
        assert "5 workers crashed under it" in status.reason
        site.await_state(lambda: site.is_final("neighbour"), 2000.0)


def test_a_worker_that_shrinks_gets_nothing_by_the_capacity_that_it_had():
    with run_site(domains={"d1": "in"}, workers_per_domain=2) as site:
        site.submit("first", run_seconds=400.0)
        site.advance(10.0)
        (name,) = (
            name for name, worker in site.workers.items() if worker.list_running()
        )
        site.capacities[name] = Resources(5000, 4096)
        site.advance(30.0)
        for index in range(12):
            site.submit(f"j{index}", run_seconds=20.0)
        site.advance(30.0)
        assert len(site.workers[name].list_running()) == 1
        del site.capacities[name]
        site.advance(30.0)
        for index in range(12, 24):
            site.submit(f"j{index}", run_seconds=20.0)
        site.advance(10.0)
        assert len(site.workers[name].list_running()) > 1

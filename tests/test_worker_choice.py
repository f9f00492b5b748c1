"""Choice of workers: headroom, limits, and workers on which tasks fail."""

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from plantainhinge.core.ids import AttemptNumber, Seconds, WorkerId
from plantainhinge.core.resources import Resources
from plantainhinge.dispatch.bindings import bind_attempt
from plantainhinge.dispatch.model import (
    Attempt,
    AttemptPhase,
    OpenStep,
    Ticket,
    Worker,
)
from plantainhinge.dispatch.open_jobs import open_job
from plantainhinge.dispatch.worker_choice import list_candidates
from plantainhinge.fleet.model import (
    EndCause,
    OrderOutcome,
    OrderResponse,
    WorkerState,
)

from .simulated_cell import (
    SimulatedCell,
    make_entry,
    make_job,
    make_policy,
    make_step,
)

NOW = 100.0

amounts = st.builds(
    Resources,
    st.sampled_from([0, 900, 1000, 1001, 3000]),
    st.sampled_from([0, 100, 400]),
    st.sampled_from([0, 0, 1]),
)


def test_new_long_running_tasks_leave_headroom_for_short_lived_work():
    site = SimulatedCell(make_entry("w1", cores=10), make_entry("w2", cores=10))
    step = make_step(count=20, long_running=True)
    site.submit(make_job("watch", step))
    site.run(0.5)
    assert [len(worker.attempts) for worker in site.workers.values()] == [9, 9]
    site.submit(make_job("lookup", make_step(count=2)))
    site.run(0.2)
    assert site.count_starts() == 20


def test_a_restarted_long_running_task_may_use_the_headroom():
    site = SimulatedCell(make_entry("w1", cores=10), make_entry("w2", cores=10))
    site.submit(make_job("watch", make_step(count=18, long_running=True)))
    site.run(0.5)
    silent = site.workers["w2"]
    for key in list(silent.attempts):
        silent._end(key, EndCause.FAILED)
    silent.entry = msgspec.structs.replace(silent.entry, state=WorkerState.DRAINING)
    site.update_workers()
    site.run(0.5)
    assert len(site.workers["w1"].attempts) == 10


def test_a_long_running_task_of_an_earlier_owner_may_use_the_headroom():
    site = SimulatedCell(make_entry("w1", cores=10), make_entry("w2", cores=10))
    job = make_job("watch", make_step(count=18, long_running=True))
    site.submit(job)
    site.run(0.5)
    lost = site.workers["w2"]
    lost.attempts.clear()
    lost.entry = msgspec.structs.replace(
        lost.entry, incarnation=2, state=WorkerState.DRAINING
    )
    lost.fence, lost.now = 0, 0.0
    site.take_over([job])
    site.run(0.5)
    assert len(site.workers["w1"].attempts) == 10


def test_new_long_running_tasks_use_the_headroom_after_a_long_wait():
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    site.submit(make_job("a", make_step(long_running=True, count=14)))
    site.run(0.5)
    site.submit(make_job("b", make_step(long_running=True, count=2)))
    site.run(29)
    assert {key.job for _, key, _ in site.list_running()} == {"a"}
    site.run(3)
    assert len(site.list_running()) == 16


def test_a_worker_on_which_everything_fails_does_not_attract_work():
    site = SimulatedCell(*(make_entry(f"w{index}") for index in range(4)))
    site.workers["w0"].fails_at_once = True
    site.run(0.2)
    for index in range(60):
        site.submit(make_job(f"j{index}", make_step(count=6, estimate=1.0)))
        site.run(0.4)
    site.run(5)
    states = [site.state_of(f"j{index}") for index in range(60)]
    assert states.count("completed") == 60
    assert len(site.workers["w0"].started) < site.count_starts() / 20


@pytest.mark.parametrize("busy_seconds", [4.0, 9.0])
def test_the_last_attempt_waits_for_a_worker_on_which_the_task_has_not_failed(
    busy_seconds,
):
    site = SimulatedCell(make_entry("w1", cores=2), make_entry("w2", cores=1))
    site.workers["w1"].fails = True
    site.run(0.2)
    site.submit(
        make_job("busy", make_step(estimate=busy_seconds, per_worker_max=1, count=2))
    )
    site.run(0.2)
    site.workers["w1"].attempts.clear()
    site.submit(make_job("j", make_step(estimate=0.2)))
    site.run_until(lambda: site.state_of("j") in ("completed", "failed"), limit=20)
    assert site.state_of("j") == "completed"


def test_a_task_returns_to_the_only_worker_that_can_take_it():
    site = SimulatedCell(make_entry("w1"))
    site.workers["w1"].fails = True
    site.run(0.2)
    site.submit(make_job("j", make_step(estimate=0.2)))
    site.run(0.4)
    site.workers["w1"].fails = False
    site.run_until(lambda: site.state_of("j") == "completed", limit=15)


def test_no_worker_is_assigned_more_than_its_capacity():
    site = SimulatedCell(make_entry("w1", cores=3), make_entry("w2", cores=2))
    site.submit(make_job("j", make_step(count=9)))
    site.run(0.2)
    per_worker = [len(worker.attempts) for worker in site.workers.values()]
    assert per_worker == [3, 2]


def open_step(spec, *, advised=False) -> OpenStep:
    record = make_job("j", spec, policy=make_policy(advised=advised))
    return open_job(record, None, wall=Seconds(0.0)).occurrences[0][0]


def may_start(task, worker: Worker) -> bool:
    """Return whether a worker meets each condition, one after the other."""
    step, spec, name = task.step, task.step.spec, worker.name
    millicores = 0 if spec.best_effort else spec.request.millicores
    needs = msgspec.structs.replace(spec.request, millicores=millicores)
    must_leave = spec.long_running and NOW - step.unplaced_since < 30.0
    headroom = 0.1 * worker.entry.capacity.millicores if must_leave else 0.0
    spare = 0.7 * spec.request.millicores if spec.best_effort else float("-inf")
    limit = spec.per_worker_max or float("inf")
    return (
        needs.fits_within(worker.free)
        and millicores + headroom <= worker.free_millicores
        and spare <= worker.spare_millicores
        and name not in task.avoided_workers
        and (not spec.label or spec.label in worker.entry.labels)
        and step.attempts_per_worker.get(name, 0) < limit
        and (not step.job.record.policy.advised or name in step.tickets)
    )


@settings(max_examples=300)
@given(
    spec=st.builds(
        make_step,
        request=amounts,
        count=st.just(2),
        best_effort=st.booleans(),
        long_running=st.booleans(),
        label=st.sampled_from(["", "ssd"]),
        per_worker_max=st.sampled_from([0, 1, 2]),
    ),
    taken=st.lists(st.tuples(amounts, st.booleans()), min_size=2, max_size=3),
    advised=st.booleans(),
    waited=st.sampled_from([0.0, 29.0, 31.0]),
    avoided=st.sampled_from([set(), {"w0"}]),
)
def test_candidates_meet_every_condition(spec, taken, advised, waited, avoided):
    task, other = (step := open_step(spec, advised=advised)).tasks
    step.unplaced_since = NOW - waited
    step.tickets[WorkerId("w1")] = Ticket("ticket", NOW + 1.0, incarnation=1)
    task.avoided_workers = set(map(WorkerId, avoided))
    workers = []
    for number, (request, labelled) in enumerate(taken):
        labels = ("ssd",) if labelled else ()
        capacity = Resources(3000, 500, 1)
        entry = make_entry(f"w{number}", capacity=capacity, labels=labels)
        workers.append(Worker(entry, entry.incarnation))
        serving = open_step(make_step(request=request, target_seconds=0.05))
        for bound in (serving.tasks[0], other) if number == 0 else serving.tasks:
            phase, attempt = AttemptPhase.RUNNING, AttemptNumber(1)
            bind_attempt(Attempt(bound, attempt, workers[-1], phase, NOW))
    expected = [worker for worker in workers if may_start(task, worker)]
    assert list_candidates(task, workers, now=NOW) == expected


@pytest.mark.parametrize("limit", [1, 2])
def test_the_limit_of_tasks_per_worker_is_kept(limit):
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    site.submit(make_job("j", make_step(count=6, per_worker_max=limit)))
    site.run(0.2)
    assert [len(worker.attempts) for worker in site.workers.values()] == [limit, limit]


def test_a_gang_starts_with_all_members_or_not_at_all():
    site = SimulatedCell(make_entry("w1", cores=2), make_entry("w2", cores=2))
    site.submit(make_job("j1", make_step(count=5, gang=True)))
    site.submit(make_job("j2", make_step(count=4, gang=True)))
    site.run(0.2)
    running = site.list_running()
    assert {task.job for _, task, _ in running} == {"j2"}
    assert len(running) == 4


def test_a_worker_that_is_not_warm_yet_takes_work_only_when_others_are_fuller():
    site = SimulatedCell(make_entry("cold", warming=5.0), make_entry("warm"))
    site.submit(make_job("first", make_step(count=4, estimate=30.0)))
    site.run(0.5)
    assert len(site.workers["cold"].attempts) == 0
    site.submit(make_job("second", make_step(count=6, estimate=30.0)))
    site.run(0.5)
    assert len(site.workers["cold"].attempts) > 0


def test_a_worker_takes_work_like_others_once_it_is_warm():
    site = SimulatedCell(make_entry("cold", warming=2.0), make_entry("warm"))
    site.run(2.5)
    site.submit(make_job("first", make_step(count=4, estimate=30.0)))
    site.run(0.5)
    assert [len(worker.attempts) for worker in site.workers.values()] == [2, 2]


def fail_all(worker, count=None):
    for key in list(worker.attempts)[:count]:
        worker._end(key, EndCause.FAILED)


@pytest.mark.parametrize("failing_seconds", [8, 10, 12, 14, 16, 18])
def test_a_worker_takes_work_again_soon_after_it_stopped_failing(failing_seconds):
    site = SimulatedCell(make_entry("w1"))
    worker = site.workers["w1"]
    worker.fails_at_once = True
    site.submit(make_job("watch", make_step(count=8, long_running=True)))
    site.run(failing_seconds)
    worker.fails_at_once = False
    site.run(5)
    assert len(worker.attempts) == 8


def test_failures_far_apart_do_not_add_up_to_a_long_quarantine():
    site = SimulatedCell(make_entry("w1"))
    worker = site.workers["w1"]
    site.submit(make_job("watch", make_step(count=4, long_running=True)))
    for _ in range(4):
        site.run(20)
        fail_all(worker, 1)
    site.run(0.5)
    assert len(worker.attempts) == 4


def test_failures_in_one_report_do_not_add_up_to_a_long_quarantine():
    site = SimulatedCell(make_entry("w1"))
    worker = site.workers["w1"]
    site.submit(make_job("watch", make_step(count=8, long_running=True)))
    site.run(0.5)
    fail_all(worker)
    site.run(6)
    assert len(worker.attempts) == 8


def test_a_worker_gets_one_attempt_at_a_time_until_it_is_well_again():
    site = SimulatedCell(make_entry("w1"))
    worker = site.workers["w1"]
    worker.fails_at_once = True
    site.submit(make_job("watch", make_step(count=8, long_running=True)))
    site.run(0.5)
    failed = len(worker.started)
    site.run(9)
    assert len(worker.started) <= failed + 3


def test_a_worker_that_fails_tasks_at_their_end_gets_one_at_a_time_after_a_quarantine():
    site = SimulatedCell(make_entry("w1"))
    worker = site.workers["w1"]
    worker.fails = True
    policy = make_policy(attempts=50)
    site.submit(make_job("j", make_step(count=8, estimate=2.0), policy=policy))
    site.run(20)
    assert len(worker.started) <= 8 + 20 / 4


def test_a_task_goes_elsewhere_if_its_start_can_not_be_sent():
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    not_sent = OrderResponse(outcome=OrderOutcome.NOT_SENT)
    site.workers["w1"].start = lambda order, step: not_sent
    site.run(0.2)
    site.submit(make_job("j"))
    site.run(0.3)
    assert [worker for worker, _, _ in site.list_running()] == ["w2"]

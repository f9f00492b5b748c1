"""An end as done that a worker may forget has finished its task."""

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from plantainhinge.jobs.model import JobSpec, JobState, Recurrence
from plantainhinge.jobs.records import unpack_bits

from .simulated_cell import SimulatedCell, make_entry, make_job, make_step
from .test_handovers import apply_event

HELD_SECONDS = 30.0
FINISH_SECONDS = 90.0
WORKERS = ("w1", "w2", "w3", "w4")


def cut_off(site, name):
    """Let another owner alone reach a worker, whose leases it renews."""
    site.workers[name].unreachable = True
    site.workers[name].lease_end = site.now + HELD_SECONDS


def start_again_elsewhere(*, inherited, silent=1, **step):
    """Return a site that took attempts for lost which run on, and their workers."""
    site = SimulatedCell(*(make_entry(name, cores=1) for name in WORKERS))
    job = make_job("j", make_step(estimate=9.0, **step))
    site.submit(job)
    site.run_until(site.list_running)
    if inherited:
        site.take_over([job])
        site.run(0.5)
    first = [name for name, _, _ in site.list_running()]
    for name in first[:silent]:
        cut_off(site, name)
    known = len(first)
    site.run_until(lambda: site.count_starts() > known)
    return site, first


def end_attempts(site, names):
    for name in names:
        for attempt in site.workers[name].attempts.values():
            attempt.time_left = 0.0
        site.workers[name].unreachable = False


# the end was acknowledged and dropped, and the other attempt ran on
@pytest.mark.parametrize("inherited", [False, True])
@pytest.mark.parametrize("step", [{}, {"checkpoints": True}, {"best_effort": True}])
def test_the_end_of_an_attempt_that_was_taken_for_lost_finishes_its_task(
    inherited, step
):
    site, first = start_again_elsewhere(inherited=inherited, **step)
    end_attempts(site, first)
    site.run(0.5)
    assert site.state_of("j") == "completed"
    assert site.list_running() == []


# the second attempt failed, and the done task was started a third time
@pytest.mark.parametrize("inherited", [False, True])
def test_a_done_task_is_not_started_again_when_its_other_attempt_fails(inherited):
    site, first = start_again_elsewhere(inherited=inherited)
    (second,) = {name for name, _, _ in site.list_running()} - set(first)
    end_attempts(site, first)
    site.workers[second].fails_at_once = True
    site.run(3.0)
    assert site.count_starts() == 2
    assert site.state_of("j") == "completed"


# the gang's later attempt ran on beside an end that represents all members
def test_the_end_of_a_gang_that_was_taken_for_lost_stops_its_later_attempt():
    site, first = start_again_elsewhere(inherited=False, silent=2, count=2, gang=True)
    end_attempts(site, first[:1])
    site.run(0.5)
    assert site.state_of("j") == "completed"
    assert all(number == 1 for _, _, number in site.list_running())


# a lasting task's end says nothing of its other attempt
def test_the_end_of_a_lasting_attempt_that_was_taken_for_lost_stops_no_other():
    site, first = start_again_elsewhere(inherited=False, long_running=True)
    (second,) = {name for name, _, _ in site.list_running()} - set(first)
    site.workers[first[0]].fails_at_once = True
    site.workers[first[0]].unreachable = False
    site.run(0.5)
    assert [name for name, _, _ in site.list_running()] == [second]


def make_all_kinds():
    recurring = JobSpec(
        payload="work",
        steps=(make_step(estimate=0.6),),
        recurrence=Recurrence(6, 0.0, 1.5),
    )
    return [
        *(make_job(f"s{n}", make_step(estimate=6.0)) for n in range(4)),
        make_job("v", make_step(count=2, estimate=3.0, speculative=True)),
        make_job("g", make_step(count=3, gang=True, estimate=6.0)),
        make_job("l", make_step(long_running=True)),
        make_job("d", make_step(), make_step(count=2, depends_on=(0,))),
        msgspec.structs.replace(make_job("r"), spec=recurring),
    ]


def is_logged(progress, key):
    """Return whether the log says that a task is done."""
    if progress.state is JobState.COMPLETED or key.occurrence < progress.finished_below:
        return True
    step = progress.occurrences[key.occurrence].steps[key.step]
    return key.position in set(unpack_bits(step.done))


def check_ends(site):
    """Check that the log has each end that a worker may have forgotten."""
    for worker in site.workers.values():
        for key in worker.forgotten_done:
            assert is_logged(site.log[key.job], key)


EVENTS = ["silence", "answer", "cut off", "take over", "log down", "log up", "submit"]


@settings(max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(EVENTS),
            st.sampled_from(WORKERS),
            st.sampled_from([0.1, 0.4, 1.5, 4.0, 7.0]),
        ),
        max_size=16,
    )
)
def test_no_end_is_acknowledged_and_forgotten(events):
    site = SimulatedCell(*(make_entry(name, cores=4) for name in WORKERS))
    waiting = make_all_kinds()
    jobs = [waiting.pop(0) for _ in range(5)]
    for job in jobs:
        site.submit(job)
    for event, worker, seconds in events:
        if event == "cut off":
            cut_off(site, worker)
        elif event == "submit" and waiting:
            jobs.append(waiting.pop(0))
            site.submit(jobs[-1])
        else:
            apply_event(site, event, worker, jobs)
        for _ in range(round(seconds / 0.1)):
            site.run(0.1)
            check_ends(site)
    site.log_up = True
    for worker in site.workers.values():
        worker.unreachable = False
    finite = [job.job for job in jobs if job.job != "l"]
    end = site.now + FINISH_SECONDS
    while not all(site.state_of(job) == "completed" for job in finite):
        site.run(0.1)
        check_ends(site)
        assert site.now < end

"""Detection of attempts without progress: each worker is checked only when needed."""

from hypothesis import given, settings, strategies as st

from plantainhinge.core.ids import AttemptNumber, Seconds
from plantainhinge.dispatch.bindings import bind_attempt, unbind_attempt
from plantainhinge.dispatch.health import find_stuck, is_stuck
from plantainhinge.dispatch.model import Attempt, AttemptPhase, Worker
from plantainhinge.dispatch.open_jobs import open_job

from .simulated_cell import make_entry, make_job, make_step


def open_task(**spec):
    record = make_job("j", make_step(**spec))
    return open_job(record, None, wall=Seconds(0.0)).occurrences[0][0].tasks[0]


def find_by_checking_all(workers, now):
    return [
        attempt
        for worker in workers
        if worker.reachable
        for attempt in worker.attempts.values()
        if attempt.phase is AttemptPhase.RUNNING and is_stuck(attempt, now=now)
    ]


def start_attempt(worker, now, *, number=1, **spec):
    """Return a new attempt whose start the worker hasn't confirmed."""
    task, phase = open_task(**spec), AttemptPhase.ORDERED
    attempt = Attempt(task, AttemptNumber(number), worker, phase, now)
    bind_attempt(attempt)
    return attempt


def confirm_start(attempt, now):
    if attempt.phase is AttemptPhase.ORDERED:
        attempt.phase, attempt.progressed_at = AttemptPhase.RUNNING, now


def change_attempt(attempt, event, now):
    """Let one thing happen to an attempt, as reports, answers and stops do."""
    if event == "confirm":
        confirm_start(attempt, now)
    elif event == "progress" and attempt.phase is AttemptPhase.RUNNING:
        attempt.progressed_at = now
    elif event == "stop":
        attempt.phase = AttemptPhase.STOPPING
    elif event == "end":
        unbind_attempt(attempt)


specs = st.sampled_from(
    [
        {"estimate": 0.0},
        {"estimate": 1.0},
        {"estimate": 0.3},
        {"long_running": True},
        {"best_effort": True},
    ]
)
events = st.lists(
    st.tuples(
        st.sampled_from([0.0, 0.1, 0.7, 2.5, 2.6]),
        st.sampled_from(["start", "confirm", "confirm", "progress", "stop", "end"]),
        st.integers(0, 9),
        specs,
        st.sampled_from([True, True, True, False]),
    ),
    min_size=10,
    max_size=30,
)


@settings(max_examples=300)
@given(events)
def test_checks_when_needed_find_the_attempts_that_checks_at_any_time_find(events):
    workers = [Worker(make_entry(name), 1, reachable=True) for name in ("w0", "w1")]
    attempts, now = [], 0.1
    for elapsed, event, number, spec, reachable in events:
        now += elapsed
        worker = workers[number % 2]
        worker.reachable = reachable
        if event == "start" or not attempts:
            unused = len(attempts) + 1
            attempts.append(start_attempt(worker, now, number=unused, **spec))
        else:
            change_attempt(attempts[number % len(attempts)], event, now)
        expected = find_by_checking_all(workers, now)
        assert find_stuck(workers, now=now) == expected


def test_a_worker_without_stuck_attempts_is_not_checked_again_at_once(monkeypatch):
    worker = Worker(make_entry("w0"), 1, reachable=True)
    confirm_start(start_attempt(worker, 10.0, estimate=1.0), 10.0)
    assert find_stuck([worker], now=10.0) == []
    monkeypatch.setattr("plantainhinge.dispatch.health.is_stuck", None)
    assert find_stuck([worker], now=12.4) == []


def test_an_attempt_is_found_once_its_estimate_and_the_allowance_are_over():
    worker = Worker(make_entry("w0"), 1, reachable=True)
    attempt = start_attempt(worker, 10.0, estimate=1.0)
    confirm_start(attempt, 10.0)
    moments = [10.0, 12.0, 12.6, 13.4, 13.6, 13.7]
    found = [find_stuck([worker], now=now) == [attempt] for now in moments]
    assert found == [False, False, False, False, True, True]

"""The log budget of a daemon: commit timer, token bucket and backoff."""

import pytest
from hypothesis import given, strategies as st

from plantainhinge.core.ids import Seconds
from plantainhinge.streams.budgets import (
    APPENDS_PER_SECOND,
    BACKOFF_SECONDS_MAX,
    BURST_SECONDS,
    LogBudget,
)


def count_appends(budget, seconds, *, streams, urgent=False, start=100.0):
    """Return how many appends were allowed; every stream asks in every tick."""
    sent = 0
    for tick in range(int(seconds / 0.05)):
        now = Seconds(start + tick * 0.05)
        for _ in range(streams):
            if budget.may_append(now, urgent=urgent):
                budget.consume_token()
                sent += 1
    return sent


def test_streams_commit_together_on_one_timer():
    budget = LogBudget()
    times = set()
    for tick in range(200):
        now = Seconds(100.0 + tick * 0.01)
        granted = [budget.may_append(now, urgent=False) for _ in range(3)]
        assert granted in ([True] * 3, [False] * 3)
        if granted[0]:
            times.add(now)
    assert len(times) == 10


@given(streams=st.integers(1, 60), seconds=st.integers(1, 30), urgent=st.booleans())
def test_no_number_of_streams_exceeds_the_rate(streams, seconds, urgent):
    sent = count_appends(LogBudget(), seconds, streams=streams, urgent=urgent)
    assert sent <= APPENDS_PER_SECOND * (seconds + BURST_SECONDS)


def test_urgent_record_does_not_wait_for_the_timer():
    budget = LogBudget()
    assert budget.may_append(Seconds(100.0), urgent=False)
    assert not budget.may_append(Seconds(100.01), urgent=False)
    assert budget.may_append(Seconds(100.01), urgent=True)


def test_rate_limit_errors_lower_the_rate_and_appends_raise_it():
    budget = LogBudget()
    before = budget.commit_period
    for _ in range(3):
        budget.record_rate_limit(Seconds(100.0), 0.5)
    assert budget.rate == APPENDS_PER_SECOND / 8
    assert budget.commit_period > before
    assert not budget.may_append(Seconds(100.4), urgent=True)
    assert budget.may_append(Seconds(100.6), urgent=True)
    for _ in range(100):
        budget.record_append()
    assert budget.rate == APPENDS_PER_SECOND


@given(
    failures=st.integers(0, 100),
    draw=st.floats(0, 1, exclude_max=True),
    wait=st.floats(0, 60),
)
def test_backoff_is_bounded_and_respects_retry_after(failures, draw, wait):
    budget = LogBudget(failures=failures)
    retry_at = budget.record_failure(Seconds(100.0), wait, draw)
    assert 100.0 + wait <= retry_at <= 100.0 + max(wait, BACKOFF_SECONDS_MAX)
    assert retry_at > 100.0
    assert not budget.may_call(Seconds(100.0))
    assert budget.may_call(Seconds(100.0 + BACKOFF_SECONDS_MAX))


def test_probe_interval_grows_until_an_answer_frees_all_streams():
    budget, now, waits = LogBudget(), 100.0, []
    for _ in range(8):
        budget.record_failure(Seconds(now), 0.0, 0.5)
        start = now
        while not budget.may_call(Seconds(now)):
            now += 0.01
        waits.append(now - start)
    assert waits == sorted(waits)
    assert waits[-1] > 10 * waits[0]
    budget.record_answer()
    assert budget.may_call(Seconds(now))


@pytest.mark.parametrize(("failures", "calls"), [(0, 4), (1, 1), (9, 1)])
def test_calls_in_flight_are_bounded_and_one_probes_a_failing_log(failures, calls):
    budget = LogBudget(failures=failures)
    while budget.may_call(Seconds(100.0)):
        budget.calls_in_flight += 1
    assert budget.calls_in_flight == calls

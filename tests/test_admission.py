"""Bulkheads, the queue for permits and Retry-After times."""

import threading
from concurrent.futures import ThreadPoolExecutor

import pytest
from hypothesis import given, strategies as st

from plantainhinge.core.states import TaskClass
from plantainhinge.routing.admission import (
    ADMISSIONS,
    BULKHEADS,
    RETRY_AFTER_SECONDS_MAX,
    BulkheadUsage,
    QueueState,
    acquire_thread,
    estimate_recovery,
    estimate_retry_after,
    release_thread,
)

from .test_request_runner import RequestPath

CRITICAL, BATCH = TaskClass.LATENCY_CRITICAL, TaskClass.BATCH
KINDS = [("lookup", CRITICAL), ("render", CRITICAL), ("audit", BATCH), ("sync", BATCH)]


@given(st.lists(st.tuples(st.integers(0, 3), st.booleans())), st.integers(8, 64))
def test_no_kind_occupies_the_threads_of_the_others(steps, threads):
    allows_thread = BULKHEADS.find("per-kind")
    table = BulkheadUsage(threads)
    for number, is_arriving in steps * 40:
        kind, task_class = KINDS[number]
        if is_arriving and allows_thread(table, kind, task_class):
            acquire_thread(table, kind, task_class)
        elif not is_arriving and table.threads_by_kind.get(kind):
            release_thread(table, kind, task_class)
        held = sum(table.threads_by_class.values())
        assert held < threads
        assert table.threads_by_class.get(BATCH, 0) <= threads // 2
        assert all(count <= threads * 0.75 for count in table.threads_by_kind.values())


def test_a_burst_of_batch_leaves_threads_for_lookups():
    allows_thread = BULKHEADS.find("per-kind")
    table = BulkheadUsage(64)
    while allows_thread(table, "audit", BATCH):
        acquire_thread(table, "audit", BATCH)
    for _ in range(30):
        assert allows_thread(table, "lookup", CRITICAL)
        acquire_thread(table, "lookup", CRITICAL)


@pytest.mark.parametrize(
    ("queue", "remaining_seconds", "admitted"),
    [
        (
            QueueState(ahead=0, permits=8, permit_seconds=0.01, has_free_permit=True),
            0.02,
            True,
        ),
        (
            QueueState(ahead=0, permits=8, permit_seconds=0.01, has_free_permit=True),
            0.0,
            False,
        ),
        (
            QueueState(ahead=7, permits=8, permit_seconds=0.01, has_free_permit=False),
            0.05,
            True,
        ),
        (
            QueueState(ahead=79, permits=8, permit_seconds=0.01, has_free_permit=False),
            0.05,
            False,
        ),
        (
            QueueState(ahead=0, permits=0, permit_seconds=0.01, has_free_permit=False),
            5.0,
            False,
        ),
    ],
)
def test_requests_that_would_miss_their_deadline_are_rejected(
    queue, remaining_seconds, admitted
):
    assert ADMISSIONS.find("deadline")(queue, remaining_seconds) is admitted
    assert ADMISSIONS.find("none")(queue, remaining_seconds)


@given(st.floats(0.0, 5000.0), st.floats(0.0, 5000.0), st.floats(0.0, 0.999))
def test_refused_callers_are_spread_over_the_time_to_serve_the_backlog(
    refused, answered, draw
):
    queue = QueueState(ahead=10, permits=2, permit_seconds=0.01, has_free_permit=False)

    def estimate(at):
        return estimate_retry_after(
            queue, refused=refused, answered=answered, jitter=at
        )

    assert 1.0 <= estimate(draw) <= RETRY_AFTER_SECONDS_MAX
    assert estimate(0.0) <= estimate(draw) <= estimate(0.999)
    if refused > 4 * max(answered, 1.0):
        assert estimate(0.999) - estimate(0.0) > 3.5


@given(st.floats(0.0, 1000.0), st.floats(0.0, 0.999))
def test_an_outage_is_expected_to_last_as_long_again(down_for, draw):
    wait = estimate_recovery(down_for, draw)
    assert wait >= min(RETRY_AFTER_SECONDS_MAX, down_for * 0.5)
    assert 1.0 <= wait <= RETRY_AFTER_SECONDS_MAX


def test_waiting_lookups_get_permits_before_batch_that_came_first():
    path = RequestPath(targets=1, max_in_flight=1)
    permits, now = path.permits, path.clock.now
    held = permits.try_acquire("s", CRITICAL, set(), now=now)
    served = []
    lock = threading.Lock()

    def wait(task_class):
        row = permits.acquire("s", task_class, set(), now=now, remaining_seconds=40.0)
        with lock:
            served.append(task_class)
        permits.release(row, task_class, now=now, abandoned=False)

    with ThreadPoolExecutor(4) as pool:
        calls = [pool.submit(wait, BATCH) for _ in range(2)]
        wait_for_queue_length(permits, BATCH, 2)
        calls += [pool.submit(wait, CRITICAL) for _ in range(2)]
        wait_for_queue_length(permits, CRITICAL, 2)
        permits.release(held, CRITICAL, now=now, abandoned=False)
        for call in calls:
            call.result(20.0)
    assert served == [CRITICAL, CRITICAL, BATCH, BATCH]


def wait_for_queue_length(permits, task_class, count):
    for _ in range(2000):
        if permits.count_waiting(task_class) == count:
            return
        threading.Event().wait(0.005)
    raise AssertionError("the queue did not reach the expected length")


def test_the_queue_wait_is_bounded_by_a_share_of_the_deadline():
    path = RequestPath(targets=1, max_in_flight=1)
    now = path.clock.now
    path.permits.try_acquire("s", CRITICAL, set(), now=now)
    assert (
        path.permits.acquire("s", CRITICAL, set(), now=now, remaining_seconds=0.05)
        is None
    )
    assert path.permits.count_waiting(CRITICAL) == 0

"""Attempts are throttled before any is evicted, within a budget, without flapping."""

from itertools import pairwise

from hypothesis import given, strategies as st

from plantainhinge.core.states import TaskClass
from plantainhinge.placement.budget import BudgetLimits, EvictionBudget
from plantainhinge.placement.mitigation import (
    AttemptView,
    Evict,
    MitigationLimits,
    MitigationTable,
    Throttle,
    WorkerView,
    mitigate_workers,
)

LIMITS = MitigationLimits(throttle_factor=0.5)
POLICY = "throttle-then-evict"


def service(slowdown):
    return AttemptView(
        "s", 1, TaskClass.LATENCY_CRITICAL, 9, 8000, 8000, slowdown=slowdown
    )


def batch(name, caused, *, limit=4000, unsaved=100.0, priority=0):
    return AttemptView(
        name,
        1,
        TaskClass.BATCH,
        priority,
        4000,
        limit,
        caused_slowdown=caused,
        unsaved_seconds=unsaved,
    )


def make_table(tokens=4.0):
    return MitigationTable(
        LIMITS, EvictionBudget(BudgetLimits(per_second=0.0), tokens, 0.0)
    )


def act(table, attempts, now, window_start=None):
    start = now if window_start is None else window_start
    return mitigate_workers([WorkerView("w", attempts, start)], table, POLICY, now)


def test_the_main_cause_is_throttled_before_the_cheapest_is_evicted():
    table = make_table()
    limits = {"a": 4000, "b": 4000}
    steps, now = [], 0.0
    while not steps or isinstance(steps[-1], Throttle):
        attempts = [
            service(3.0),
            batch("a", 1.0, limit=limits["a"], unsaved=500.0),
            batch("b", 0.9, limit=limits["b"], unsaved=20.0),
            batch("harmless", 0.01, unsaved=0.0),
        ]
        (step,) = act(table, attempts, now)
        steps.append(step)
        if isinstance(step, Throttle):
            limits[step.task] = step.millicores
        now += 10.0
    throttled = [(s.task, s.millicores) for s in steps[:-1]]
    assert throttled == [("a", 2000), ("a", 1000), ("b", 2000), ("b", 1000)]
    assert steps[-1] == Evict("b", 1, "w")


def test_a_report_from_before_the_last_change_is_ignored():
    table = make_table()
    attempts = [service(3.0), batch("a", 1.0)]
    assert act(table, attempts, 0.0)
    assert act(table, attempts, 8.0, window_start=LIMITS.settle_seconds - 0.1) == []
    assert act(table, attempts, 8.0, window_start=LIMITS.settle_seconds)


def test_between_the_thresholds_nothing_changes():
    between = (LIMITS.low + LIMITS.high) / 2
    attempts = [service(between), batch("a", 0.0, limit=1000)]
    assert act(make_table(), attempts, 0.0) == []


def test_a_limit_stays_while_lifting_it_is_expected_to_slow_services():
    attempts = [service(1.1), batch("a", 0.8, limit=1000)]
    assert act(make_table(), attempts, 0.0) == []
    attempts = [service(1.1), batch("a", 0.6, limit=1000)]
    assert act(make_table(), attempts, 0.0) == [Throttle("a", 1, "w", 2000)]


def test_nothing_is_evicted_without_budget():
    attempts = [service(9.0), batch("a", 1.0, limit=1000)]
    assert act(make_table(tokens=0.0), attempts, 0.0) == []


@given(st.lists(st.floats(0.0, 30.0), max_size=60))
def test_evictions_never_exceed_the_budget(gaps):
    limits = BudgetLimits(burst=3, per_second=0.1)
    table = MitigationTable(LIMITS, EvictionBudget(limits))
    attempts = [service(9.0), batch("a", 1.0, limit=1000)]
    times, now = [], 0.0
    for gap in gaps:
        now += gap
        times.extend(now for _ in act(table, attempts, now))
        for start in range(len(times)):
            window = now - times[start]
            assert len(times) - start <= limits.burst + limits.per_second * window + 1


def count_changes(slowdown_of, seconds):
    table = make_table(tokens=0.0)
    limit, lifts, last = 4000, 0, []
    for now in range(seconds):
        view = [service(slowdown_of(limit, now)), batch("a", 0.0, limit=limit)]
        for step in act(table, view, float(now)):
            lifts += step.millicores > limit
            limit = step.millicores
            last.append(now)
    return lifts, last


@given(st.floats(0.0, 0.3))
def test_limits_do_not_flap_under_steady_interference(noise):
    def slowdown(limit, now):
        return 1.0 + limit / 2500 + noise * (now % 2)

    lifts, changes = count_changes(slowdown, 3600)
    most = 2 + 3600 // LIMITS.max_lift_delay_seconds + 6
    assert lifts <= most
    assert all(b - a >= LIMITS.settle_seconds for a, b in pairwise(changes))


def test_limits_are_lifted_after_the_interference_is_gone():
    lifts, _ = count_changes(lambda limit, now: 3.0 if now < 60 else 1.0, 200)
    assert lifts == 2

"""A domain that is out is drained in order and is empty after the grace period."""

from hypothesis import given, strategies as st

from plantainhinge.core.resources import Resources
from plantainhinge.core.states import TaskClass
from plantainhinge.placement.drain import (
    DRAIN_POLICIES,
    DrainingAttempt,
    DrainLimits,
    DrainState,
)

stop_by_priority = DRAIN_POLICIES.find("by-priority")
LIMITS = DrainLimits(grace_seconds=10.0, initial_stops=2.0, stops_per_second=4.0)


def row(task, *, priority=0, cores=1, critical=False, replaced=False):
    kind = TaskClass.LATENCY_CRITICAL if critical else TaskClass.BATCH
    return DrainingAttempt(task, 1, kind, priority, Resources(cores * 1000), replaced)


def drain(rows, free, seconds):
    """Return the tasks stopped in each second, if each stops immediately."""
    table = DrainState(LIMITS)
    remaining = list(rows)
    stops = []
    for now in range(seconds):
        table.update(True, float(now))
        stopped = stop_by_priority(remaining, Resources(free * 1000), table, float(now))
        remaining = [r for r in remaining if r.task not in stopped]
        stops.append(stopped)
    return stops


def test_batch_that_fits_elsewhere_moves_first_by_priority():
    rows = [row(f"t{n}", priority=n) for n in range(8)]
    stops = drain(rows, free=3, seconds=11)
    assert stops[0] == ["t7", "t6"]
    assert stops[1] == ["t5"]
    assert stops[2:10] == [[]] * 8
    assert sorted(stops[10]) == ["t0", "t1", "t2", "t3", "t4"]


def test_replicas_run_until_replaced_or_the_grace_period_ends():
    rows = [
        row("old", critical=True, priority=9),
        row("replaced", critical=True, priority=9, replaced=True),
    ]
    stops = drain(rows, free=9, seconds=11)
    assert stops[0] == ["replaced"]
    assert stops[10] == ["old"]


@given(
    st.lists(st.tuples(st.integers(0, 3), st.integers(1, 4), st.booleans())),
    st.integers(0, 20),
)
def test_each_attempt_stops_once_and_at_a_limited_rate_within_the_grace_period(
    rows, free
):
    named = [
        row(f"t{n}", priority=p, cores=c, critical=k)
        for n, (p, c, k) in enumerate(rows)
    ]
    stops = drain(named, free, 11)
    flat = [task for second in stops for task in second]
    assert sorted(flat) == sorted(r.task for r in named)
    early = [task for second in stops[:10] for task in second]
    cores = {r.task: r.resources.millicores for r in named}
    assert sum(cores[task] for task in early) <= free * 1000
    for age in range(10):
        so_far = sum(len(second) for second in stops[: age + 1])
        assert so_far <= LIMITS.initial_stops + LIMITS.stops_per_second * age


def test_a_domain_that_comes_back_ends_its_drain():
    table = DrainState(LIMITS)
    table.update(True, 0.0)
    table.update(False, 5.0)
    assert stop_by_priority([row("t")], Resources(9000), table, 60.0) == []

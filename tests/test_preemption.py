"""Batch work of lower priority is evicted only as needed, the cheapest first."""

from hypothesis import given, strategies as st

from plantainhinge.core.resources import Resources
from plantainhinge.placement.preemption import (
    PreemptibleAttempt,
    PreemptibleWorker,
    plan_preemption,
)

batches = st.lists(
    st.tuples(st.integers(0, 3), st.integers(1, 6), st.floats(0, 100)), max_size=6
)
worker_specs = st.lists(st.tuples(st.integers(0, 4), batches), max_size=4)


def make_workers(worker_specs):
    return [
        PreemptibleWorker(
            f"w{w}",
            Resources(free * 1000),
            [
                PreemptibleAttempt(
                    f"w{w}t{t}", 1, priority, Resources(cores * 1000), unsaved
                )
                for t, (priority, cores, unsaved) in enumerate(rows)
            ],
        )
        for w, (free, rows) in enumerate(worker_specs)
    ]


@given(worker_specs, st.integers(1, 12), st.integers(0, 4), st.integers(0, 4))
def test_only_lower_priority_is_evicted_and_no_more_than_needed(
    worker_specs, cores, priority, max_victims
):
    workers = make_workers(worker_specs)
    need = Resources(cores * 1000)
    plan = plan_preemption(
        workers, need, below_priority=priority, max_victims=max_victims
    )
    if plan is None:
        return
    worker = next(r for r in workers if r.worker == plan.worker)
    freed = sum((v.resources for v in plan.victims), worker.free)
    assert need.fits_within(freed)
    assert len(plan.victims) <= max_victims
    for victim in plan.victims:
        assert victim.priority < priority
        assert not need.fits_within(freed - victim.resources)


def test_the_eviction_that_loses_least_work_is_chosen():
    workers = make_workers(
        [(0, [(0, 4, 90.0)]), (0, [(0, 4, 5.0)]), (0, [(1, 4, 0.0)])]
    )
    plan = plan_preemption(workers, Resources(4000), below_priority=1, max_victims=1)
    assert plan is not None
    assert [victim.task for victim in plan.victims] == ["w1t0"]


def test_attempts_whose_resources_are_not_needed_keep_running():
    workers = make_workers([(0, [(0, 1, 1.0), (0, 6, 50.0)])])
    plan = plan_preemption(workers, Resources(6000), below_priority=1, max_victims=2)
    assert plan is not None
    assert [victim.task for victim in plan.victims] == ["w0t1"]

"""Lower-priority batch gives way only as needed, the cheapest first."""

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
workers = st.lists(st.tuples(st.integers(0, 4), batches), max_size=4)


def make_rooms(workers):
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
        for w, (free, rows) in enumerate(workers)
    ]


@given(workers, st.integers(1, 12), st.integers(0, 4), st.integers(0, 4))
def test_only_lower_priority_gives_way_and_no_more_than_needed(
    workers, cores, priority, most
):
    rooms = make_rooms(workers)
    need = Resources(cores * 1000)
    plan = plan_preemption(rooms, need, below_priority=priority, max_victims=most)
    if plan is None:
        return
    room = next(r for r in rooms if r.worker == plan.worker)
    freed = sum((v.resources for v in plan.victims), room.free)
    assert need.fits_within(freed)
    assert len(plan.victims) <= most
    for victim in plan.victims:
        assert victim.priority < priority
        assert not need.fits_within(freed - victim.resources)


def test_the_least_lost_work_is_chosen():
    rooms = make_rooms([(0, [(0, 4, 90.0)]), (0, [(0, 4, 5.0)]), (0, [(1, 4, 0.0)])])
    plan = plan_preemption(rooms, Resources(4000), below_priority=1, max_victims=1)
    assert plan is not None
    assert [victim.task for victim in plan.victims] == ["w1t0"]


def test_what_turns_out_not_to_be_needed_runs_on():
    rooms = make_rooms([(0, [(0, 1, 1.0), (0, 6, 50.0)])])
    plan = plan_preemption(rooms, Resources(6000), below_priority=1, max_victims=2)
    assert plan is not None
    assert [victim.task for victim in plan.victims] == ["w0t1"]

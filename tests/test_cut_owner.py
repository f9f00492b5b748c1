"""Tests of what an owner may do while the log doesn't confirm its ownership."""

import pytest
from hypothesis import given, settings, strategies as st

from .simulated_cell import make_job, make_step
from .split_cell import WORKERS, SplitCell

ESTIMATES = st.sampled_from([0.5, 2.0, 5.0, 20.0])
REACHED = st.sets(st.sampled_from(WORKERS), max_size=2).map(frozenset)


def make_split(*, tasks=8, takeover_seconds=1.0, reached=("w0",), others=None, **step):
    others = set(WORKERS) - set(reached) if others is None else others
    split = SplitCell(
        reached=frozenset(reached),
        successor_reached=frozenset(others),
        takeover_seconds=takeover_seconds,
    )
    for index in range(tasks):
        split.submit(make_job(f"j{index}", make_step(**step)))
    split.run(1.0)
    return split


@pytest.mark.parametrize("cut_seconds", [2.0, 6.5, 9.0, 12.0])
@pytest.mark.parametrize(
    "step", [{"estimate": 5.0}, {"estimate": 20.0}, {"long_running": True}]
)
def test_an_owner_cut_off_does_not_run_what_its_successor_runs(cut_seconds, step):
    split = make_split(**step)
    split.cut(cut_seconds)
    split.run(30.0)
    assert split.overlaps == {}
    assert split.list_repeats() == []
    assert split.count_done() == (0 if step.get("long_running") else len(split.jobs))


# the lease that it had granted ended just after its successor had renewed it
def test_an_owner_cut_off_takes_no_lapse_as_proof_of_an_end():
    split = make_split(estimate=20.0)
    split.run(4.5, missed=frozenset({"w1"}))
    split.cut(8.0)
    split.run(40.0)
    assert split.overlaps == {}
    assert split.list_repeats() == []


@settings(max_examples=100)
@given(
    reached=REACHED,
    others=REACHED,
    cut_seconds=st.sampled_from([0.5, 2.0, 5.0, 6.5, 8.0, 12.0]),
    takeover_seconds=st.sampled_from([0.8, 1.5, 4.0]),
    estimate=ESTIMATES,
    tasks=st.integers(1, 12),
)
def test_no_task_runs_twice_whichever_workers_each_owner_reaches(
    reached, others, cut_seconds, takeover_seconds, estimate, tasks
):
    split = make_split(
        reached=reached,
        others=others,
        takeover_seconds=takeover_seconds,
        estimate=estimate,
        tasks=tasks,
    )
    split.cut(cut_seconds)
    split.run(60.0)
    assert split.overlaps == {}
    assert split.list_repeats() == []
    assert split.count_done() == tasks

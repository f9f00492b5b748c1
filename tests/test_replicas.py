"""A replacement is added before the old replica is cancelled."""

import pytest

from plantainhinge.core.states import TaskState
from plantainhinge.placement.replicas import ReplicaPlan, ReplicaRow, plan_replicas

WAITING, ASSIGNED = TaskState.WAITING, TaskState.ASSIGNED


def row(index, state=ASSIGNED, cell="a"):
    return ReplicaRow(f"s/{index}", index, state, cell)


@pytest.mark.parametrize(
    ("rows", "count", "plan"),
    [
        ([], 2, ReplicaPlan(2, ())),
        ([row(0), row(1)], 2, ReplicaPlan(0, ())),
        ([row(0), row(1, cell="out")], 2, ReplicaPlan(1, ())),
        ([row(0), row(1, cell="out"), row(2)], 2, ReplicaPlan(0, ())),
        ([row(0), row(1, WAITING, None), row(2)], 2, ReplicaPlan(0, ("s/1",))),
        ([row(0), row(1), row(2)], 1, ReplicaPlan(0, ("s/1", "s/2"))),
        ([row(0), row(1, cell="out")], 0, ReplicaPlan(0, ("s/0", "s/1"))),
    ],
)
def test_the_plan_follows_the_count_and_the_domains(rows, count, plan):
    assert plan_replicas(rows, count, {"a"}) == plan

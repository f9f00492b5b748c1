"""The pairwise model learns hidden weights despite lag, varying load and drift."""

from random import Random

import pytest

from plantainhinge.core.messages import AttemptReport
from plantainhinge.core.records import AttemptPlaced
from plantainhinge.core.resources import Resources
from plantainhinge.core.states import TaskClass
from plantainhinge.placement.attribution import ChangeTable, build_observations
from plantainhinge.placement.interference import (
    HALF_LIFE_SECONDS,
    INTERFERENCE_MODELS,
    KindLoad,
    Observation,
    PairTable,
    estimate_interference_cost,
    estimate_slowdown,
    update_weights,
)

BATCH, CRITICAL = TaskClass.BATCH, TaskClass.LATENCY_CRITICAL
CAPACITY = Resources(10_000, 10_000)
HIDDEN = {"noisy": 4.0, "quiet": 0.1}


def observe(loads, hidden=HIDDEN):
    slowdown = 1.0 + sum(hidden[kind] * load for kind, load in loads.items())
    colocated = tuple(KindLoad(kind, BATCH, load) for kind, load in loads.items())
    return Observation("s", slowdown, colocated)


def train(table, rounds, hidden=HIDDEN):
    random = Random(7)
    for number in range(rounds):
        loads = {kind: random.uniform(0, 0.6) for kind in hidden}
        update_weights(table, observe(loads, hidden), float(number))


def test_the_weights_of_colocated_kinds_are_learned_separately():
    table = PairTable()
    train(table, 400)
    for kind, weight in HIDDEN.items():
        assert table.get("s", kind, 400.0) == pytest.approx(weight, abs=0.15)


def test_the_estimate_follows_load_and_drift():
    table = PairTable()
    train(table, 400)
    noisy = {"noisy": KindLoad("noisy", BATCH, 0.5)}
    assert estimate_slowdown(table, "s", noisy, 400.0) == pytest.approx(3.0, abs=0.15)
    train(table, 400, {"noisy": 1.0, "quiet": 0.1})
    assert estimate_slowdown(table, "s", noisy, 400.0) == pytest.approx(1.5, abs=0.15)


def test_the_estimate_decays_to_the_prior():
    table = PairTable(prior=0.3)
    table.set("s", "noisy", 4.3, 0.0)
    assert table.get("s", "noisy", HALF_LIFE_SECONDS) == pytest.approx(2.3)


def test_the_baseline_expects_no_interference():
    table = PairTable()
    table.set("s", "noisy", 9.0, 0.0)
    arriving = KindLoad("noisy", BATCH, 0.5)
    colocated = [KindLoad("s", CRITICAL, 0.5)]
    costs = {
        name: estimate_interference_cost(
            INTERFERENCE_MODELS.find(name), table, arriving, colocated, 0.0
        )
        for name in INTERFERENCE_MODELS
    }
    assert costs["none"] == 0.0
    assert costs["pairwise"] > 4.0


def place(task, kind, task_class=BATCH):
    return AttemptPlaced(task, 1, "w", kind, task_class, Resources(4000), 0)


def report(task, millicores, slowdown=1.0):
    return AttemptReport(
        task=task,
        attempt=1,
        usage=Resources(millicores),
        slowdown=slowdown,
        usage_age=3.0,
    )


PLACED = {
    "s": place("s", "service", CRITICAL),
    "a": place("a", "noisy"),
    "b": place("b", "quiet"),
}
REPORTS = [report("s", 1000, 2.0), report("a", 4000), report("b", 2000)]


@pytest.mark.parametrize(
    ("change", "colocated"),
    [
        ((), {"noisy": 0.4, "quiet": 0.2}),
        (("arrival", "b", 98.0), {"noisy": 0.4}),
        (("arrival", "b", 95.0), None),
        (("departure", "gone", 98.0), {"noisy": 0.4, "quiet": 0.2, "past": 0.5}),
        (("departure", "gone", 96.0), None),
        (("departure", "gone", 80.0), {"noisy": 0.4, "quiet": 0.2}),
    ],
)
def test_only_the_window_of_the_lagging_report_is_learned_from(change, colocated):
    changes = ChangeTable(window_seconds=5.0)
    match change:
        case ("arrival", task, at):
            changes.record_arrival("w", task, at)
        case ("departure", task, at):
            changes.record_departure("w", task, KindLoad("past", BATCH, 0.5), at)
    rows = build_observations("w", CAPACITY, REPORTS, PLACED, changes, 100.0)
    found = {row.kind: {x.kind: x.load for x in row.colocated} for row in rows}
    assert found.get("service") == colocated

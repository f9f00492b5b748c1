"""Cell state under records of two owners, some of them repeated or stale."""

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from plantainhinge.core.ids import DomainId, Epoch, Offset, Seconds
from plantainhinge.core.messages import AttemptReport
from plantainhinge.core.records import (
    AttemptClosed,
    AttemptPlaced,
    ClosureAcknowledged,
    OwnershipClaimed,
    OwnershipReleased,
    WorkerJoined,
    WorkerLeft,
)
from plantainhinge.core.resources import Resources
from plantainhinge.core.states import AttemptOutcome, TaskClass
from plantainhinge.ledgers.cell import CellState, Fence
from plantainhinge.ledgers.cell_decisions import list_targets
from plantainhinge.streams.ownership import Predecessor

CAPACITY = Resources(8, 8, 1)
TASKS = st.sampled_from(["t1", "t2", "t3"])
ATTEMPTS = st.integers(1, 4)
WORKERS = st.sampled_from(["w1", "w2"])
SIZES = st.builds(Resources, st.integers(0, 6), st.integers(0, 6), st.integers(0, 1))
EPOCHS = st.integers(1, 3)


def place(task, attempt, worker, size):
    return AttemptPlaced(task, attempt, worker, "k", TaskClass.BATCH, size, 0)


def close(task, attempt):
    return AttemptClosed(task, attempt, AttemptOutcome.EVICTED, "5", 0)


def acknowledge(task, attempt, epoch, sequence):
    return ClosureAcknowledged(task, attempt, 0, epoch, sequence)


records = st.one_of(
    st.builds(place, TASKS, ATTEMPTS, WORKERS, SIZES),
    st.builds(close, TASKS, ATTEMPTS),
    st.builds(acknowledge, TASKS, ATTEMPTS, EPOCHS, st.integers(0, 5)),
    st.builds(WorkerJoined, WORKERS, st.just(""), st.just("r"), st.just(CAPACITY)),
    st.builds(WorkerLeft, WORKERS),
    st.builds(OwnershipClaimed, EPOCHS, st.sampled_from(["a", "b"]), st.just("")),
    st.builds(OwnershipReleased, EPOCHS),
)
entries = st.lists(st.tuples(records, EPOCHS, st.integers(1, 2)), max_size=60)


def apply(state, record, epoch, now=0.0):
    return state.apply(record, epoch=Epoch(epoch), offset=Offset(0), now=Seconds(now))


def make_owned_cell():
    state = CellState(DomainId("d"))
    apply(state, OwnershipClaimed(1, "a", ""), 1)
    apply(state, WorkerJoined("w1", "", "r", CAPACITY), 1)
    apply(state, WorkerJoined("w2", "", "r", CAPACITY), 1)
    return state


def check_invariants(state):
    used = {name: Resources() for name in state.workers}
    for placed in state.open_attempts.values():
        used[placed.worker] = used[placed.worker] + placed.resources
    for name, worker in state.workers.items():
        assert worker.free + used[name] == worker.capacity
        assert Resources().fits_within(worker.free)
        assert set(worker.attempts) == {
            task
            for task, placed in state.open_attempts.items()
            if placed.worker == name
        }
    closed = {task for task, row in state.attempts.items() if row.closed is not None}
    assert closed == {task for tasks in state.closures.values() for task in tasks}
    assert closed | set(state.open_attempts) == set(state.attempts)


@settings(max_examples=300)
@given(entries=entries)
def test_no_order_of_records_overcommits_a_worker(entries):
    state = make_owned_cell()
    newest_fences = {}
    for record, epoch, repeats in entries:
        for _ in range(repeats):
            owner = state.ownership.epoch if state.ownership.owner else None
            known = state.attempts.get(getattr(record, "task", None))
            rejection = apply(state, record, epoch)
            check_invariants(state)
            if rejection is not None or isinstance(record, OwnershipClaimed):
                continue
            assert epoch == owner or isinstance(record, OwnershipReleased)
            if isinstance(record, AttemptPlaced):
                assert known is None or known.closed is not None
                assert known is None or record.attempt > known.attempt
            if isinstance(record, ClosureAcknowledged):
                fence = state.fences[record.ledger]
                assert fence >= newest_fences.get(record.ledger, fence)
                newest_fences[record.ledger] = fence


@settings(max_examples=100)
@given(entries=entries, cut=st.integers(0, 60))
def test_state_is_independent_of_snapshots_and_reader_clocks(entries, cut):
    first, second = make_owned_cell(), make_owned_cell()
    for n, (record, epoch, _) in enumerate(entries):
        if n == cut:
            dump, second = second.dump(), CellState(DomainId("d"))
            second.restore(dump, now=Seconds(5.0))
        rejections = [apply(first, record, epoch), apply(second, record, epoch, 99.0)]
        assert rejections[0] == rejections[1]
    assert first.dump() == second.dump()
    check_invariants(second)


@pytest.mark.parametrize(
    ("first", "second", "fits"),
    [
        (Resources(4, 4, 0), Resources(4, 4, 1), True),
        (Resources(4, 1, 0), Resources(5, 1, 0), False),
        (Resources(1, 4, 0), Resources(1, 5, 0), False),
        (Resources(1, 1, 1), Resources(1, 1, 1), False),
    ],
)
def test_placement_beyond_free_resources_is_rejected(first, second, fits):
    state = make_owned_cell()
    assert apply(state, place("t1", 1, "w1", first), 1) is None
    assert (apply(state, place("t2", 1, "w1", second), 1) is None) is fits
    check_invariants(state)


def test_offer_older_than_an_acknowledgement_is_superseded():
    state = make_owned_cell()
    apply(state, place("t", 1, "w1", Resources(1, 1, 0)), 1)
    apply(state, close("t", 1), 1)
    assert not state.is_superseded(0, Fence(2, 6))
    apply(state, acknowledge("t", 1, 2, 7), 1)
    assert "t" not in state.attempts
    assert state.is_superseded(0, Fence(2, 6))
    assert state.is_superseded(0, Fence(1, 99))
    assert not state.is_superseded(0, Fence(2, 8))
    assert not state.is_superseded(0, Fence(3, 1))
    assert not state.is_superseded(1, Fence(1, 1))


def test_stopping_replica_is_listed_as_leaving():
    state = make_owned_cell()
    size = Resources(1, 1, 0)
    for task in ("s/0", "s/1"):
        record = place(task, 1, "w1", size)
        apply(state, msgspec.structs.replace(record, service="s"), 1)
    reports = {
        task: AttemptReport(task=task, attempt=1, address="127.0.0.1:1")
        for task in ("s/0", "s/1")
    }
    targets = list_targets(state, "s", reports, leaving={"s/1"})
    assert [target.leaving for target in targets] == [False, True]
    apply(state, close("s/0", 1), 1)
    assert len(list_targets(state, "s", reports)) == 1


def test_owner_replaced_without_release_stays_a_predecessor():
    state = make_owned_cell()
    apply(state, OwnershipClaimed(2, "b", ""), 2)
    apply(state, OwnershipReleased(2), 2)
    apply(state, OwnershipClaimed(3, "c", ""), 3)
    assert state.ownership.predecessors == (Predecessor("a", ""),)

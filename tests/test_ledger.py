"""Ledger state under records of two owners, some of them repeated or stale."""

import pytest
from hypothesis import given, settings, strategies as st

from plantainhinge.core.claims import CLAIM_WINDOW_SECONDS
from plantainhinge.core.ids import Epoch, Offset, Seconds
from plantainhinge.core.records import (
    AttemptAssigned,
    AttemptEnded,
    OwnershipClaimed,
    RequestClaimed,
    RequestReleased,
    RequestSettled,
    RowsPruned,
    TaskAccepted,
    TaskCancelled,
    TaskRejected,
    TimeRecorded,
)
from plantainhinge.core.resources import Resources
from plantainhinge.core.states import (
    FINAL_TASK_STATES,
    AttemptOutcome,
    ClaimState,
    TaskClass,
    TaskState,
)
from plantainhinge.ledgers.ledger import (
    KEY_SKEW_SECONDS_MAX,
    TASK_RETENTION_SECONDS,
    LedgerState,
)
from plantainhinge.ledgers.ledger_decisions import prune_rows

START = 1_000_000.0
TASKS = st.sampled_from(["t1", "t2", "s/0"])
ATTEMPTS = st.integers(1, 4)
EPOCHS = st.integers(1, 2)
KEYS = st.sampled_from(["k1", "k2", "k3"])
REQUESTS = st.sampled_from(["r1", "r2"])
OUTCOMES = st.sampled_from(AttemptOutcome)
TIMES = st.floats(START, START + 2 * TASK_RETENTION_SECONDS)


def accept(task):
    service = "s" if task.startswith("s/") else ""
    return TaskAccepted(
        task, "t", "k", TaskClass.BATCH, Resources(), 0, False, 1.0, service
    )


def apply(state, record, epoch=1, now=0.0):
    return state.apply(record, epoch=Epoch(epoch), offset=Offset(0), now=Seconds(now))


def make_owned_ledger():
    state = LedgerState(0)
    apply(state, OwnershipClaimed(1, "a", ""))
    apply(state, TimeRecorded(START))
    return state


records = st.one_of(
    st.builds(accept, TASKS),
    st.builds(TaskCancelled, TASKS),
    st.builds(TaskRejected, TASKS, st.just("never")),
    st.builds(AttemptAssigned, TASKS, ATTEMPTS, st.just("d")),
    st.builds(AttemptEnded, TASKS, ATTEMPTS, OUTCOMES, st.sampled_from(["", "5"])),
    st.builds(RequestClaimed, KEYS, REQUESTS, st.just("g"), TIMES),
    st.builds(RequestReleased, KEYS, REQUESTS),
    st.builds(RequestSettled, KEYS, REQUESTS),
    st.builds(TimeRecorded, TIMES),
    st.builds(RowsPruned, TIMES, TIMES),
    st.builds(OwnershipClaimed, EPOCHS, st.sampled_from(["a", "b"]), st.just("")),
)
entries = st.lists(st.tuples(records, EPOCHS, st.integers(1, 2)), max_size=80)


def check_invariants(state):
    rows = state.tasks.items()
    waiting = {task for task, row in rows if row.state is TaskState.WAITING}
    assigned = {task for task, row in rows if row.state is TaskState.ASSIGNED}
    final = {task for task, row in rows if row.state in FINAL_TASK_STATES}
    assert set(state.waiting) == waiting
    assert set(state.assigned) == assigned
    assert sorted(state._final_tasks) == sorted(final)
    assert {key for _, key in state._claim_keys} == set(state.claims)
    assert len(state._claim_keys) == len(state.claims)


class RecordChecker:
    """Checks accepted records against each other, independently of the state."""

    def __init__(self):
        self.granted, self.ended, self.open = {}, {}, {}

    def check_record(self, record):
        match record:
            case RequestClaimed(key=key):
                assert self.granted.get(key) in (None, ClaimState.RELEASED)
                self.granted[key] = ClaimState.HELD
            case RequestReleased(key=key):
                self.granted[key] = ClaimState.RELEASED
            case TaskAccepted(task=task):
                self.ended.pop(task, None)
            case AttemptAssigned(task=task, attempt=attempt):
                assert task not in self.open
                self.open[task] = attempt
            case AttemptEnded(task=task, attempt=attempt):
                assert self.open.pop(task) == attempt

    def check_rows(self, rows):
        for task, row in rows.items():
            if row.state in FINAL_TASK_STATES:
                assert self.ended.setdefault(task, row.state) is row.state


@settings(max_examples=300)
@given(entries=entries)
def test_each_task_ends_once_and_each_key_is_granted_once(entries):
    state, checker = make_owned_ledger(), RecordChecker()
    for record, epoch, repeats in entries:
        for _ in range(repeats):
            before = state.ownership.epoch
            if apply(state, record, epoch) is not None:
                continue
            check_invariants(state)
            assert epoch == before or isinstance(record, OwnershipClaimed)
            checker.check_record(record)
            checker.check_rows(state.tasks)


@settings(max_examples=100)
@given(entries=entries, cut=st.integers(0, 80))
def test_state_is_independent_of_snapshots_and_reader_clocks(entries, cut):
    first, second = make_owned_ledger(), make_owned_ledger()
    for n, (record, epoch, _) in enumerate(entries):
        if n == cut:
            dump, second = second.dump(), LedgerState(0)
            second.restore(dump, now=Seconds(5.0))
        assert apply(first, record, epoch) == apply(second, record, epoch, 99.0)
    assert first.dump() == second.dump()
    check_invariants(second)


@pytest.mark.parametrize(
    ("key_at", "granted"),
    [
        (START - CLAIM_WINDOW_SECONDS - 1.0, False),
        (START - 1.0, True),
        (START + KEY_SKEW_SECONDS_MAX + 1.0, False),
        (0.0, True),
    ],
)
def test_key_outside_the_claim_window_is_not_granted(key_at, granted):
    state = make_owned_ledger()
    apply(state, RowsPruned(0.0, START - CLAIM_WINDOW_SECONDS))
    rejection = apply(state, RequestClaimed("k", "r", "g", key_at))
    assert (rejection is None) is granted


def test_pruned_key_is_never_granted_again():
    state = make_owned_ledger()
    apply(state, RequestClaimed("k", "r", "g", START))
    apply(state, RequestSettled("k", "r"))
    apply(state, TimeRecorded(START + 2 * CLAIM_WINDOW_SECONDS))
    apply(state, prune_rows(state, state.time))
    assert not state.claims
    assert apply(state, RequestClaimed("k", "r2", "g", START)) is not None


def test_final_task_is_deleted_after_its_retention():
    state = make_owned_ledger()
    apply(state, accept("t"))
    apply(state, TaskCancelled("t"))
    assert apply(state, accept("t")) is not None
    apply(state, TimeRecorded(START + TASK_RETENTION_SECONDS - 1.0))
    assert prune_rows(state, state.time) is None
    assert apply(state, RowsPruned(state.time, 0.0)) is not None
    apply(state, TimeRecorded(START + TASK_RETENTION_SECONDS + 100.0))
    assert apply(state, prune_rows(state, state.time)) is None
    assert "t" not in state.tasks


def test_replica_accepted_again_gets_a_new_attempt():
    state = make_owned_ledger()
    apply(state, accept("s/0"))
    apply(state, AttemptAssigned("s/0", 1, "d"))
    apply(state, TaskCancelled("s/0"))
    assert apply(state, accept("s/0")) is not None
    apply(state, AttemptEnded("s/0", 1, AttemptOutcome.EVICTED, ""))
    assert state.tasks["s/0"].state is TaskState.CANCELLED
    assert apply(state, accept("s/0")) is None
    assert apply(state, AttemptAssigned("s/0", 1, "d")) is not None
    assert apply(state, AttemptAssigned("s/0", 2, "d")) is None


@pytest.mark.parametrize(
    ("outcome", "state_after"),
    [
        (AttemptOutcome.FINISHED, TaskState.FINISHED),
        (AttemptOutcome.EVICTED, TaskState.CANCELLED),
        (AttemptOutcome.LOST, TaskState.CANCELLED),
        (AttemptOutcome.DECLINED, TaskState.CANCELLED),
        (AttemptOutcome.FAILED, TaskState.CANCELLED),
    ],
)
def test_cancelled_task_ends_cancelled_unless_it_finished_first(outcome, state_after):
    state = make_owned_ledger()
    apply(state, accept("t"))
    apply(state, AttemptAssigned("t", 1, "d"))
    apply(state, TaskCancelled("t"))
    apply(state, AttemptEnded("t", 1, outcome, ""))
    assert state.tasks["t"].state is state_after
    assert apply(state, TaskCancelled("t")) is not None

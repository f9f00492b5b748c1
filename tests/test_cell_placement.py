"""Placement in cells: capacity, interference, preemption and quarantine."""

from collections import Counter

from hypothesis import given, strategies as st

from plantainhinge.core.messages import AttemptOffer
from plantainhinge.core.records import AttemptClosed, AttemptPlaced, WorkerJoined
from plantainhinge.core.resources import Resources
from plantainhinge.core.states import AttemptOutcome, TaskClass
from plantainhinge.ledgers.cell import CellState
from plantainhinge.ledgers.cell_placement import place_offers
from plantainhinge.placement.workers import CellPolicy, CellTables
from plantainhinge.streams.ownership import Ownership

CAPACITY = Resources(16_000, 65_536)
CRITICAL, BATCH = TaskClass.LATENCY_CRITICAL, TaskClass.BATCH
POLICY = CellPolicy()
USABLE = [f"w{n}" for n in range(6)]


def make_cell(workers=4):
    state = CellState("d", Ownership(1, "owner"))
    for number in range(workers):
        rack = f"rack-{number % 2}"
        apply(state, WorkerJoined(f"w{number}", "127.0.0.1:1", rack, CAPACITY))
    return state


def apply(state, record):
    assert state.apply(record, epoch=1, offset=1, now=0.0) is None


def offer(task, cores=4, *, kind="k", critical=False, **fields):
    return AttemptOffer(
        ledger=0,
        ledger_epoch=1,
        task=task,
        attempt=1,
        cell="d",
        kind=kind,
        task_class=CRITICAL if critical else BATCH,
        resources=Resources(cores * 1000, 1024),
        service=kind if critical else "",
        **fields,
    )


def make_tables(tokens=16.0):
    tables = CellTables()
    tables.holds.budget.tokens = tokens
    return tables


def place(state, offers, tables, now=100.0, policy=POLICY):
    plan = place_offers(state, offers, tables, policy, usable=USABLE, now=now)
    for record in plan.records:
        apply(state, record)
    return plan


def get_assignments(plan):
    return {r.task: r.worker for r in plan.records if isinstance(r, AttemptPlaced)}


offers = st.lists(
    st.tuples(st.integers(1, 18), st.booleans(), st.booleans()), max_size=24
)


@given(st.lists(offers, min_size=1, max_size=3), st.sampled_from(["none", "pairwise"]))
def test_every_planned_placement_is_accepted_on_replay(rounds, model):
    state, tables = make_cell(3), make_tables(tokens=4.0)
    evicted = 0
    for number, rows in enumerate(rounds):
        plan = place(
            state,
            [
                offer(f"{number}-{n}", cores, critical=critical, urgent=urgent)
                for n, (cores, critical, urgent) in enumerate(rows)
            ],
            tables,
            policy=CellPolicy(model=model),
        )
        evicted += len(plan.evictions)
    assert evicted <= 4
    assert state.occupancy.critical == sum(
        (p.resources for p in state.open_attempts.values() if p.task_class is CRITICAL),
        Resources(),
    )
    for worker, row in state.workers.items():
        placed = [
            p.resources for p in state.open_attempts.values() if p.worker == worker
        ]
        assert sum(placed, row.free) == CAPACITY


def test_replicas_of_a_service_spread_over_workers_and_racks():
    state = make_cell(4)
    rows = [offer(f"s/{n}", kind="s", critical=True) for n in range(4)]
    assert len(set(get_assignments(place(state, rows, make_tables())).values())) == 4


def test_no_worker_exceeds_its_share_of_a_services_replicas():
    state = make_cell(8)
    rows = [offer(f"s/{n}", 1, kind="s", critical=True) for n in range(12)]
    counts = Counter(get_assignments(place(state, rows, make_tables())).values())
    assert sorted(counts.values()) == [3, 3, 3, 3]


def test_interfering_kinds_are_placed_away_from_services():
    state, tables = make_cell(2), make_tables()
    service = get_assignments(
        place(state, [offer("s/0", kind="s", critical=True)], tables)
    )["s/0"]
    tables.pairs.set("s", "noisy", 8.0, 100.0)
    placed = get_assignments(place(state, [offer("n", kind="noisy")], tables))
    assert placed["n"] != service


def test_urgent_offer_preempts_batch_and_is_held_until_it_fits():
    state, tables = make_cell(1), make_tables()
    place(state, [offer(f"b{n}") for n in range(4)], tables)
    urgent, ordinary = offer("u", urgent=True), offer("p")
    first = place(state, [urgent, ordinary], tables)
    assert len(first.evictions) == 1
    assert [r.task for r in first.records] == ["p"]
    assert place(state, [urgent], tables, now=101.0).evictions == []
    victim = first.evictions[0]
    apply(state, AttemptClosed(victim, 1, AttemptOutcome.EVICTED, "c", 0))
    assert get_assignments(place(state, [offer("q")], tables, now=102.0)) == {}
    assert get_assignments(place(state, [urgent], tables, now=102.0)) == {"u": "w0"}


def test_held_offer_is_declined_when_no_capacity_is_freed_in_time():
    state, tables = make_cell(1), make_tables()
    place(state, [offer(f"b{n}") for n in range(4)], tables)
    urgent = offer("u", urgent=True)
    assert place(state, [urgent], tables).records == []
    (refusal,) = place(state, [urgent], tables, now=111.0).records
    assert refusal.outcome is AttemptOutcome.DECLINED


def test_urgent_batch_does_not_preempt_urgent_batch():
    state, tables = make_cell(1), make_tables()
    place(state, [offer(f"b{n}", urgent=True) for n in range(4)], tables)
    assert place(state, [offer("u", urgent=True)], tables).evictions == []


def test_quarantined_worker_gets_nothing_and_avoided_ones_come_last():
    state, tables = make_cell(4), make_tables()
    for number in range(3):
        tables.health.record_failure("w0", "k", f"j{number}", 4, 90.0)
    rows = [offer(f"b{n}", avoid=["w1"]) for n in range(12)]
    assignments = list(get_assignments(place(state, rows, tables)).values())
    assert "w0" not in assignments
    assert assignments.count("w1") == 4
    assert set(assignments[:8]) == {"w2", "w3"}

"""Assignment of waiting tasks: quotas, capacity, order, headroom and reasons."""

from dataclasses import replace

import pytest
from hypothesis import given, strategies as st

from plantainhinge.core.resources import Resources
from plantainhinge.core.states import TaskClass
from plantainhinge.placement.assignment import (
    AssignmentPolicy,
    AssignmentTables,
    SiteState,
    WaitReason,
    plan_assignments,
)
from plantainhinge.placement.cells import CELL_CHOICES, CellResources
from plantainhinge.placement.queue import (
    PRIORITY_CREDIT_SECONDS,
    URGENT_CREDIT_SECONDS,
    Shape,
    WaitingQueue,
)
from plantainhinge.placement.quotas import QuotaUsage
from plantainhinge.placement.ramp import RampLimits, RampTable

BIG = Resources(1_000_000, 1_000_000, 100)
NO_RAMP = RampLimits(ramp_seconds=0.0)
CRITICAL = TaskClass.LATENCY_CRITICAL


def cores(count, accelerators=0):
    return Resources(count * 1000, count * 1024, accelerators)


def shape(count=1, **fields):
    return Shape(**{"team": "t", "kind": "k", "resources": cores(count), **fields})


def cell(name, free, *, largest=None, capacity=None, critical=0):
    return CellResources(
        name,
        "r",
        cores(free),
        cores(free if largest is None else largest),
        cores(free if capacity is None else capacity),
        cores(critical),
    )


def make_site(*cells, quotas=None, used=None, any_domain_in=True, now=0.0, wall=0.0):
    quotas = {"t": BIG} if quotas is None else quotas
    rows = {row.domain: row for row in cells}
    return SiteState(rows, quotas, QuotaUsage(used or {}), {}, now, wall, any_domain_in)


def make_queue(*tasks):
    queue = WaitingQueue()
    for number, (row, since) in enumerate(tasks):
        queue.add(f"task-{number}", row, since)
    return queue


def plan(queue, site, tables=None, **policy):
    tables = tables or AssignmentTables(ramp=RampTable(NO_RAMP))
    return plan_assignments(queue, site, tables, AssignmentPolicy(**policy))


shapes = st.builds(
    Shape,
    team=st.sampled_from(["a", "b"]),
    kind=st.sampled_from(["x", "y"]),
    resources=st.builds(cores, st.integers(1, 9), st.integers(0, 1)),
    task_class=st.sampled_from(TaskClass),
    service=st.sampled_from(["", "s"]),
    priority=st.integers(0, 3),
    urgent=st.booleans(),
)
tasks = st.lists(st.tuples(shapes, st.floats(0, 1e5)), max_size=30)
amounts = st.builds(cores, st.integers(0, 40), st.integers(0, 3))
cell_amounts = st.lists(st.tuples(amounts, amounts), min_size=1, max_size=4)


@given(tasks, cell_amounts, amounts, amounts, st.sampled_from(sorted(CELL_CHOICES)))
def test_no_plan_exceeds_capacity_or_quota(
    tasks, cell_amounts, quota_a, quota_b, choice
):
    rows = [
        CellResources(f"d{n}", "r", free, largest, BIG)
        for n, (free, largest) in enumerate(cell_amounts)
    ]
    quotas = {"a": quota_a, "b": quota_b}
    queue = make_queue(*tasks)
    site = make_site(*rows, quotas=quotas, wall=1e5)
    taken = {}
    for step in plan(queue, site, choice=choice, headroom_share=0.0):
        row = queue.get_shape(step.task)
        if not (row.urgent or row.task_class is CRITICAL):
            largest = {row.domain: row.largest_free for row in rows}[step.cell]
            assert row.resources.fits_within(largest)
            taken[step.cell] = taken.get(step.cell, Resources()) + row.resources
    for row in rows:
        assert taken.get(row.domain, Resources()).fits_within(row.free)
    for team, quota in quotas.items():
        assert site.quota_usage.get(team).fits_within(quota)


@given(tasks, st.integers(0, 30))
def test_urgent_work_that_fits_never_waits_behind_other_work(tasks, free):
    fresh = [(row, 1e5) for row, _ in tasks]
    queue = make_queue(*fresh)
    site = make_site(cell("d", free), quotas={"a": BIG, "b": BIG}, wall=1e5)
    site.cells["d"] = replace(site.cells["d"], free=cores(free, 9), largest_free=BIG)
    planned = {s.task for s in plan(queue, site, headroom_share=0.0)}
    late = [t for t in queue if queue.get_shape(t).urgent and t not in planned]
    before = sum(
        queue.get_shape(t).resources.millicores
        for t in planned
        if queue.get_shape(t).urgent
    )
    for task in late:
        need = queue.get_shape(task).resources
        assert before + need.millicores > free * 1000


def test_a_low_priority_task_starts_in_bounded_time_under_urgent_load():
    low = shape(1, priority=0)
    urgent = shape(1, urgent=True, priority=2)
    bound = URGENT_CREDIT_SECONDS + 2 * PRIORITY_CREDIT_SECONDS
    queue = make_queue((low, 0.0))
    for second in range(0, int(bound) + 20, 10):
        queue.add(f"u{second}", urgent, float(second))
        step = plan(queue, make_site(cell("d", 1), wall=second), headroom_share=0.0)[0]
        queue.remove(step.task)
        if step.task == "task-0":
            assert second <= bound + 10
            return
    pytest.fail("the low-priority task starved")


def test_a_cell_is_reserved_for_a_starved_large_task():
    large, small = shape(8), shape(1, kind="small")
    queue = make_queue((large, 0.0), (small, 1.0))
    cells = (cell("a", 3, capacity=8), cell("b", 2, capacity=4))
    young = plan(queue, make_site(*cells, wall=100.0), headroom_share=0.0)
    starved = plan(queue, make_site(*cells, wall=2000.0), headroom_share=0.0)
    assert [step.cell for step in young] == ["a"]
    assert [step.cell for step in starved] == ["b"]


def test_the_quota_of_a_team_is_reserved_for_its_starved_large_task():
    queue = make_queue((shape(8), 0.0), (shape(1, kind="small"), 1.0))
    quotas, used = {"t": cores(8)}, {"t": cores(4)}
    young = make_site(cell("a", 20), quotas=quotas, used=used, wall=100.0)
    assert len(plan(queue, young)) == 1
    starved = make_site(cell("a", 20), quotas=quotas, used=used, wall=2000.0)
    assert plan(queue, starved) == []


def test_only_time_critical_work_goes_to_a_full_cell():
    queue = make_queue((shape(4, urgent=True), 0.0), (shape(4, kind="other"), 0.0))
    full = cell("a", 0, capacity=20, critical=10)
    assert [s.task for s in plan(queue, make_site(full))] == ["task-0"]
    crowded = cell("a", 0, capacity=20, critical=17)
    assert plan(queue, make_site(crowded)) == []


def test_replicas_spread_over_domains():
    replica = shape(1, service="s", task_class=CRITICAL)
    queue = make_queue(*[(replica, 0.0)] * 6)
    site = make_site(cell("a", 90), cell("b", 20), cell("c", 20))
    chosen = [step.cell for step in plan(queue, site)]
    assert sorted(chosen) == ["a", "a", "b", "b", "c", "c"]


def test_batch_leaves_headroom_for_the_services_of_any_domain():
    queue = make_queue(*[(shape(1), 0.0)] * 50)
    cells = [cell(name, 20, capacity=30, critical=10) for name in "ab"]
    tables = AssignmentTables(ramp=RampTable(NO_RAMP))
    site = make_site(*cells)
    plan(queue, site, tables, headroom_share=1.0)
    assert all(r.free.millicores >= 10_000 for r in site.cells.values())
    assert set(tables.wait_reasons.values()) == {WaitReason.HEADROOM}


DECLINED = AssignmentTables(ramp=RampTable(NO_RAMP))
DECLINED.backoff.record_decline("a", cores(2), 0.0)
RAMPING = AssignmentTables(ramp=RampTable(RampLimits(first_rate=1e-9)))
RAMPING.ramp.update(["a"], 0.0)
RAMPING.ramp.record_assignment("a")


@pytest.mark.parametrize(
    ("site", "tables", "reason"),
    [
        (make_site(any_domain_in=False), None, WaitReason.DOMAINS_OUT),
        (make_site(), None, WaitReason.STALE_VIEW),
        (make_site(cell("a", 1)), None, WaitReason.CAPACITY),
        (make_site(cell("a", 9, largest=1)), None, WaitReason.CAPACITY),
        (make_site(cell("a", 9), quotas={"t": cores(1)}), None, WaitReason.QUOTA),
        (make_site(cell("a", 9), quotas={}), None, WaitReason.QUOTA),
        (make_site(cell("a", 9)), DECLINED, WaitReason.BACK_OFF),
        (make_site(cell("a", 9)), RAMPING, WaitReason.RAMP),
    ],
)
def test_the_reason_for_waiting_is_reported(site, tables, reason):
    tables = tables or AssignmentTables(ramp=RampTable(NO_RAMP))
    assert plan(make_queue((shape(2), 0.0)), site, tables) == []
    assert tables.wait_reasons == {shape(2): reason}


def test_the_pause_of_a_declining_cell_grows():
    tables = AssignmentTables()
    pauses = []
    now = 0.0
    for _ in range(8):
        tables.backoff.record_decline("a", cores(1), now)
        tables.backoff.record_decline("a", cores(1), now)
        pauses.append(tables.backoff.get_remaining_pause("a", cores(1), now))
        now += pauses[-1]
    assert pauses == [0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 8.0, 8.0]

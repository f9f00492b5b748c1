"""How gateways share one target, checked from the target's point of view."""

import random
from collections import Counter

import pytest
from hypothesis import given, strategies as st

from plantainhinge.core.ids import DomainId, ServiceId, TargetId
from plantainhinge.core.messages import Target
from plantainhinge.core.rendezvous import rank_by_rendezvous
from plantainhinge.core.states import TaskClass
from plantainhinge.daemons.permits import PermitPool
from plantainhinge.routing.limits import (
    BATCH_PERMIT_COUNTS,
    PERMIT_SPLITS,
    LoadShare,
    choose_subset,
    compute_max_connections,
    split_by_rendezvous,
)
from plantainhinge.routing.plans import ServicePlan
from plantainhinge.routing.policy import build_policy
from plantainhinge.routing.targets import ABANDONED_CONNECTION_SECONDS, TargetTable

SERVICE = ServiceId("formulas")
SLOTS, CONNECTIONS, GATEWAYS_MAX = 8, 64, 16


class Gateway:
    """One gateway's permits, and the connections that the target sees from it."""

    def __init__(self, split, weight):
        self.table = TargetTable(DomainId("a"))
        target = Target(
            target=TargetId("t"),
            service=SERVICE,
            address="127.0.0.1:1",
            domain=DomainId("a"),
            rack="r",
            worker="w",
        )
        self.table.replace(SERVICE, DomainId("a"), [target], now=0.0)
        self.permits = PermitPool(
            self.table, build_policy(split=split), threads=64, seed=1
        )
        self.set_plan(split, weight, 0.0)
        self.held = []
        self.abandoned_at = []

    def set_plan(self, split, weight, now):
        max_connections = compute_max_connections(CONNECTIONS, GATEWAYS_MAX)
        share = LoadShare(own=weight, total=1.0, gateways=max(1, round(1 / weight)))
        max_in_flight = PERMIT_SPLITS.find(split)(SLOTS, max_connections, share)
        rows = list(self.table.services[SERVICE].targets.values())
        for row in rows:
            row.batch_permits = 4
        plan = ServicePlan(
            service=SERVICE,
            rows=rows,
            max_connections=max_connections,
            max_in_flight=max_in_flight,
        )
        self.permits.set_plans({SERVICE: plan}, now)

    def act(self, kind, draw, now):
        task_class = TaskClass.BATCH if draw % 3 == 0 else TaskClass.LATENCY_CRITICAL
        if kind == "take":
            row = self.permits.try_acquire(SERVICE, task_class, set(), now=now)
            if row is not None:
                self.held.append((row, task_class))
        elif self.held:
            row, task_class = self.held.pop(draw % len(self.held))
            abandoned = kind == "abandon"
            if abandoned:
                self.abandoned_at.append(now)
            self.permits.release(row, task_class, now=now, abandoned=abandoned)

    def count_connections(self, now):
        abandoned = [
            at for at in self.abandoned_at if now < at + ABANDONED_CONNECTION_SECONDS
        ]
        return len(self.held) + len(abandoned)


WEIGHTS = st.lists(st.floats(0.05, 1.0), min_size=16, max_size=16)
ACTIONS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(["take", "take", "take", "answer", "abandon", "view"]),
        st.integers(0, 99),
        st.floats(0.0, 0.5),
    ),
    max_size=200,
)


@pytest.mark.parametrize("split", list(PERMIT_SPLITS))
@given(actions=ACTIONS, weights=WEIGHTS)
def test_a_target_never_sees_more_than_its_connections(split, actions, weights):
    """Each gateway may have any view of its peers and change it at any time."""
    gateways = [Gateway(split, weight) for weight in weights]
    now = 0.0
    for gateway in gateways[3:]:
        for _ in range(CONNECTIONS):
            gateway.act("take", 1, now)
    for number, kind, draw, elapsed in actions:
        now += elapsed
        if kind == "view":
            gateways[number].set_plan(split, (draw + 1) / 100, now)
        else:
            gateways[number].act(kind, draw, now)
        counts = [gateway.count_connections(now) for gateway in gateways]
        assert max(counts) <= CONNECTIONS // GATEWAYS_MAX
        assert sum(counts) <= CONNECTIONS


@given(st.integers(1, 16), st.integers(1, 8))
def test_all_gateways_at_their_limits_stay_within_the_connections(live, slots):
    max_connections = compute_max_connections(CONNECTIONS, GATEWAYS_MAX)
    for split in PERMIT_SPLITS:
        max_in_flight = PERMIT_SPLITS.find(split)(
            slots, max_connections, LoadShare(1.0, 1.0, live)
        )
        assert 1 <= max_in_flight <= max_connections
    assert max_connections * GATEWAYS_MAX <= CONNECTIONS


@given(st.integers(1, 16), st.integers(2, 16))
def test_batch_permits_are_assigned_once_when_views_agree(gateways, slots):
    live = frozenset(f"g{number}" for number in range(gateways))
    for target in ("t1", "t2", "t3"):
        assert sum(split_by_rendezvous(slots, target, me, live) for me in live) == slots


def test_subsets_are_bounded_even_and_stable():
    targets = [f"t{number}" for number in range(500)]
    gateways = [f"g{number}" for number in range(40)]
    listed = Counter()
    for gateway in gateways:
        subset = choose_subset(gateway, targets, 64)
        assert len(subset) == 64
        listed.update(subset)
        after_removal = choose_subset(gateway, targets[:-1], 64)
        assert len(set(subset) - set(after_removal)) <= 1
    mean = 40 * 64 / 500
    assert max(listed.values()) <= 3 * mean
    assert len(listed) >= 480


@given(st.integers(0, 2**32))
def test_a_leaving_member_changes_the_order_of_no_other(seed):
    members = [f"g{number}" for number in range(9)]
    removed = random.Random(seed).choice(members)
    ranked = rank_by_rendezvous("t", members)
    rest = rank_by_rendezvous("t", [m for m in members if m != removed])
    assert rest == [m for m in ranked if m != removed]


@given(st.integers(2, 64), st.floats(0.0, 64.0))
def test_batch_gets_the_slots_that_lookups_leave_and_never_all(slots, critical_slots):
    permits = BATCH_PERMIT_COUNTS.find("follow-load")(slots, critical_slots)
    assert slots // 2 <= permits < slots or slots == 2
    if permits > slots // 2:
        assert permits + 2 * critical_slots <= slots - 1

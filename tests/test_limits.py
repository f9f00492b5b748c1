"""Shares of one target, checked from the target's own view."""

import random
from collections import Counter

import pytest
from hypothesis import given, strategies as st

from plantainhinge.core.ids import DomainId, ServiceId, TargetId
from plantainhinge.core.messages import Target
from plantainhinge.core.rendezvous import rank_by_rendezvous
from plantainhinge.core.states import TaskClass
from plantainhinge.daemons.places import Places
from plantainhinge.routing.limits import (
    BATCH_SIZES,
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
    """One gateway's places, and the connections the target sees from it."""

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
        self.places = Places(self.table, build_policy(split=split), threads=64, seed=1)
        self.view(split, weight, 0.0)
        self.held = []
        self.still_open = []

    def view(self, split, weight, now):
        hard = compute_max_connections(CONNECTIONS, GATEWAYS_MAX)
        share = LoadShare(own=weight, total=1.0, gateways=max(1, round(1 / weight)))
        soft = PERMIT_SPLITS.find(split)(SLOTS, hard, share)
        rows = list(self.table.services[SERVICE].targets.values())
        for row in rows:
            row.batch_permits = 4
        plan = ServicePlan(
            service=SERVICE, rows=rows, max_connections=hard, max_in_flight=soft
        )
        self.places.set_plans({SERVICE: plan}, now)

    def act(self, kind, draw, now):
        task_class = TaskClass.BATCH if draw % 3 == 0 else TaskClass.LATENCY_CRITICAL
        if kind == "take":
            row = self.places.take_at_once(SERVICE, task_class, set(), now=now)
            if row is not None:
                self.held.append((row, task_class))
        elif self.held:
            row, task_class = self.held.pop(draw % len(self.held))
            abandoned = kind == "abandon"
            if abandoned:
                self.still_open.append(now)
            self.places.give_back(row, task_class, now=now, abandoned=abandoned)

    def count(self, now):
        late = [at for at in self.still_open if now < at + ABANDONED_CONNECTION_SECONDS]
        return len(self.held) + len(late)


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
    """Every gateway believes what it likes of its peers, and changes its mind."""
    gateways = [Gateway(split, weight) for weight in weights]
    now = 0.0
    for gateway in gateways[3:]:
        for _ in range(CONNECTIONS):
            gateway.act("take", 1, now)
    for number, kind, draw, passed in actions:
        now += passed
        if kind == "view":
            gateways[number].view(split, (draw + 1) / 100, now)
        else:
            gateways[number].act(kind, draw, now)
        counts = [gateway.count(now) for gateway in gateways]
        assert max(counts) <= CONNECTIONS // GATEWAYS_MAX
        assert sum(counts) <= CONNECTIONS


@given(st.integers(1, 16), st.integers(1, 8))
def test_all_gateways_taking_all_they_may_stay_within_the_connections(live, slots):
    hard = compute_max_connections(CONNECTIONS, GATEWAYS_MAX)
    for split in PERMIT_SPLITS:
        soft = PERMIT_SPLITS.find(split)(slots, hard, LoadShare(1.0, 1.0, live))
        assert 1 <= soft <= hard
    assert hard * GATEWAYS_MAX <= CONNECTIONS


@given(st.integers(1, 16), st.integers(2, 16))
def test_batch_places_are_dealt_out_once_when_views_agree(gateways, slots):
    live = frozenset(f"g{number}" for number in range(gateways))
    for target in ("t1", "t2", "t3"):
        assert sum(split_by_rendezvous(slots, target, me, live) for me in live) == slots


def test_subsets_are_bounded_even_and_stable():
    targets = [f"t{number}" for number in range(500)]
    gateways = [f"g{number}" for number in range(40)]
    told = Counter()
    for gateway in gateways:
        subset = choose_subset(gateway, targets, 64)
        assert len(subset) == 64
        told.update(subset)
        fewer = choose_subset(gateway, targets[:-1], 64)
        assert len(set(subset) - set(fewer)) <= 1
    mean = 40 * 64 / 500
    assert max(told.values()) <= 3 * mean
    assert len(told) >= 480


@given(st.integers(0, 2**32))
def test_a_leaving_member_moves_no_other(seed):
    members = [f"g{number}" for number in range(9)]
    gone = random.Random(seed).choice(members)
    ranked = rank_by_rendezvous("t", members)
    rest = rank_by_rendezvous("t", [m for m in members if m != gone])
    assert rest == [m for m in ranked if m != gone]


@given(st.integers(2, 64), st.floats(0.0, 64.0))
def test_batch_gets_what_lookups_leave_and_never_all(slots, lookups):
    places = BATCH_SIZES.find("follow-load")(slots, lookups)
    assert slots // 2 <= places < slots or slots == 2
    if places > slots // 2:
        assert places + 2 * lookups <= slots - 1

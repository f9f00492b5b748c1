"""Membership: suspicion, refutation, partitions, reused addresses, and its cost."""

import random

import msgspec
import pytest

from plantainhinge.core.ids import Seconds
from plantainhinge.core.messages import Heartbeat
from plantainhinge.core.states import DaemonRole, PeerState
from plantainhinge.membership.peers import (
    DEAD_RETENTION_SECONDS,
    JOIN_EXCHANGES,
    PeerTable,
)


class Member:
    """One process of a site; the test delivers its heartbeats."""

    def __init__(self, number, incarnation=1):
        self.address = f"10.0.0.{number}:7102"
        self.process = f"entry-{number}/scheduler/{incarnation}"
        self.table = PeerTable(self.address, incarnation)
        self.sequence = 0
        self.owned = {}
        self.revision = 1

    def build_heartbeat(self, partner, incarnation, now):
        relays = []
        if partner != self.address:
            relays = self.table.choose_relays(partner, incarnation, now)
        return Heartbeat(
            process=self.process,
            incarnation=self.table.incarnation,
            role=DaemonRole.SCHEDULER,
            address=self.address,
            domain="d",
            revision=self.revision,
            ready=True,
            owned=self.owned,
            sequence=self.sequence,
            relays=relays,
        )


class Group:
    """Members that exchange heartbeats once per second of simulated time."""

    def __init__(self, count, seed=1):
        self.random = random.Random(seed)
        self.members = {m.address: m for m in map(Member, range(count))}
        self.listed = list(self.members)
        self.blocked_links = set()
        self.now = 100.0
        self.bytes = 0

    def run(self, seconds):
        for _ in range(seconds):
            self.now += 1.0
            for member in list(self.members.values()):
                self.exchange(member)

    def exchange(self, member):
        now = Seconds(self.now)
        member.table.expire(now)
        member.sequence += 1
        draws = [self.random.random() for _ in range(JOIN_EXCHANGES)]
        for address in member.table.choose_partners(self.listed, draws):
            self.call(member, address, now)
        member.table.record_heartbeat(
            member.build_heartbeat(member.address, 0, now), now
        )

    def call(self, member, address, now):
        row = member.table.rows.get(address)
        message = member.build_heartbeat(
            address, row.heartbeat.incarnation if row else 0, now
        )
        other = self.members.get(address)
        if other is None or (member.address, address) in self.blocked_links:
            member.table.record_no_answer(address, now)
            return
        answer = other.build_heartbeat(member.address, message.incarnation, now)
        other.table.record_heartbeat(message, now)
        member.table.record_heartbeat(answer, now)
        self.bytes += len(msgspec.msgpack.encode(message))
        self.bytes += len(msgspec.msgpack.encode(answer))

    def collect_states(self, address):
        return {
            member.table.rows[address].state
            for member in self.members.values()
            if address in member.table.rows and member.address != address
        }

    def count_live_peers(self):
        return {len(m.table.list_live(self.now)) for m in self.members.values()}


@pytest.mark.parametrize(("count", "known"), [(2, 2), (18, 18), (60, 54)])
def test_members_discover_each_other(count, known):
    group = Group(count)
    group.run(30)
    assert min(group.count_live_peers()) >= known
    assert max(group.count_live_peers()) == count


@pytest.mark.parametrize("count", [18, 40])
def test_a_dead_member_is_declared_dead_by_all_and_then_removed(count):
    group = Group(count)
    group.run(15)
    address = group.listed[0]
    del group.members[address]
    group.listed.remove(address)
    group.run(40)
    assert group.collect_states(address) <= {PeerState.DEAD}
    for member in group.members.values():
        member.table.expire(Seconds(group.now + DEAD_RETENTION_SECONDS + 1.0))
    assert all(address not in m.table.rows for m in group.members.values())


def test_a_member_that_some_cannot_reach_refutes_the_suspicion():
    group = Group(18)
    group.run(10)
    target = group.listed[0]
    group.blocked_links = {(other, target) for other in group.listed[1:7]}
    group.run(60)
    assert PeerState.DEAD not in group.collect_states(target)
    assert group.members[target].table.incarnation > 1
    process = group.members[target].process
    tables = [member.table for member in group.members.values()]
    assert not any(table.is_replaced(process, target) for table in tables)


def test_a_process_at_a_reused_address_replaces_the_old_one():
    group = Group(18)
    group.run(10)
    address = group.listed[3]
    old = group.members[address]
    group.members[address] = Member(3, incarnation=9)
    group.run(15)
    for member in group.members.values():
        assert member.table.rows[address].heartbeat.process.endswith("/9")
        assert member.table.is_replaced(old.process, address)
        assert not member.table.is_replaced("entry-3/scheduler/9", address)


def test_a_process_whose_clock_was_set_back_is_still_accepted():
    group = Group(18)
    for member in group.members.values():
        member.table.incarnation = 1000
    group.run(10)
    address = group.listed[3]
    group.members[address] = Member(3, incarnation=5)
    group.run(15)
    for member in group.members.values():
        assert member.table.rows[address].heartbeat.process.endswith("/5")


def test_a_half_cut_off_is_declared_dead_and_rejoins():
    group = Group(18)
    group.run(10)
    halves = group.listed[:9], group.listed[9:]
    group.blocked_links = {(a, b) for a in halves[0] for b in halves[1]}
    group.blocked_links |= {(b, a) for a, b in group.blocked_links}
    group.run(60)
    assert group.count_live_peers() == {9}
    group.blocked_links = set()
    group.run(60)
    assert group.count_live_peers() == {18}


@pytest.mark.parametrize("count", [18, 100])
def test_a_new_owner_is_known_to_all_within_seconds(count):
    group = Group(count)
    group.run(15)
    owner = group.members[group.listed[1]]
    owner.owned = {"cell.a": 7}
    group.run(10)
    for member in group.members.values():
        found = member.table.find_owner("cell.a", Seconds(group.now))
        assert found is not None
        assert found.address == owner.address


def test_the_higher_epoch_wins_over_a_stale_owner():
    group = Group(18)
    group.members[group.listed[0]].owned = {"cell.a": 1}
    group.members[group.listed[1]].owned = {"cell.a": 2}
    group.run(10)
    found = group.members[group.listed[5]].table.find_owner("cell.a", Seconds(0))
    assert found.owned == {"cell.a": 2}


def test_an_instance_list_with_dead_and_without_live_members_is_harmless():
    group = Group(18)
    group.listed = group.listed[:6] + [f"10.9.9.{n}:7102" for n in range(6)]
    group.run(30)
    assert group.count_live_peers() == {18}


@pytest.mark.parametrize("count", [16, 100])
def test_the_traffic_of_a_member_is_bounded(count):
    group = Group(count)
    for number, member in enumerate(group.members.values()):
        if number % 4 == 0:
            member.owned = {f"cell.{number}": 1}
    group.run(20)
    group.bytes = 0
    group.run(20)
    # Each message is counted twice: at its sender and at its receiver.
    per_member = 2 * group.bytes / 20 / count
    assert per_member < 2500


def test_an_older_incarnation_or_sequence_changes_nothing():
    table = PeerTable("10.0.0.1:7102", 1)
    member = Member(2, incarnation=5)
    member.sequence = 9
    newest = member.build_heartbeat(member.address, 0, 0.0)
    table.record_heartbeat(newest, Seconds(0.0))
    for older in ({"incarnation": 4, "sequence": 99}, {"sequence": 8}):
        stale = msgspec.structs.replace(newest, revision=99, **older)
        table.record_heartbeat(stale, Seconds(1.0))
    assert table.rows[member.address].heartbeat.revision == 1
    assert table.find_newest_revision() == 1


def test_a_refutation_is_not_taken_for_a_replacement():
    group = Group(4)
    group.run(10)
    address = group.listed[1]
    table = group.members[group.listed[0]].table
    row = table.rows[address]
    raised = row.heartbeat.incarnation + 1
    row.heartbeat = msgspec.structs.replace(row.heartbeat, incarnation=raised)
    assert not table.is_replaced(row.heartbeat.process, address)

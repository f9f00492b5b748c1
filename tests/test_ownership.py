"""Tests of the ownership of the cell: claims, losses, planned stops and races."""

import asyncio

import pytest

from plantainhinge.core.errors import CorruptRecordError, UnavailableError
from plantainhinge.core.ids import Epoch, InstanceId, MemberName
from plantainhinge.daemons.ownership import OWNER_TOPIC, Ownership
from plantainhinge.fleet.protocols import Entry, Group
from plantainhinge.jobs.ownership import (
    OWNER_KEY,
    OwnerRecord,
    build_member_name,
    decode_owner,
    encode_owner,
    parse_address,
    should_hand_over,
    should_take_over,
)

from .keyed_log import MemoryKeyedLog


class Member:
    """One instance's ownership, and the callbacks that it made."""

    def __init__(self, log, name, *, takeover_seconds=0.0):
        self.events = []
        self.takeover_seconds = takeover_seconds
        self.ownership = Ownership(
            log=log,
            member=MemberName(name),
            on_acquired=self._on_acquired,
            on_lost=self._on_lost,
            before_release=self._before_release,
        )
        self.tasks = []

    async def _on_acquired(self, epoch):
        await asyncio.sleep(self.takeover_seconds)
        self.events.append(("acquired", epoch))

    async def _before_release(self):
        self.events.append(("before_release", None))

    def _on_lost(self, reason):
        self.events.append(("lost", reason))

    def start(self):
        self.tasks = [
            asyncio.create_task(self.ownership.run()),
            asyncio.create_task(self.ownership.watch()),
        ]

    def kill(self):
        for task in self.tasks:
            task.cancel()


class FixedMembers:
    """A log in whose group a member sees only itself."""

    def __init__(self, log, member):
        self.read_newest, self.append = log.read_newest, log.append
        self.member = member

    async def list_members(self):
        return Group(frozenset({self.member}), is_complete=True)


def read_epochs(log):
    return [decode_owner(entry.value).epoch for entry in log.topics[OWNER_TOPIC]]


async def wait_for(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


def run_members(scenario):
    async def run():
        log = MemoryKeyedLog()
        members = [Member(log, name) for name in ("one/a/200", "two/b/100")]
        for member in members:
            member.start()
        try:
            await wait_for(lambda: members[0].events)
            return await scenario(log, *members)
        finally:
            for member in members:
                member.kill()

    return asyncio.run(run())


def test_exactly_one_instance_owns_the_cell():
    async def scenario(log, one, two):
        await asyncio.sleep(0.5)
        return one.events, two.events

    one, two = run_members(scenario)
    assert one == [("acquired", 1)]
    assert two == []


def test_a_slow_takeover_costs_neither_the_membership_nor_the_cell():
    """As when the log is slow: the takeover lasts longer than a membership."""

    async def scenario():
        log = MemoryKeyedLog()
        log.member_seconds = 0.8
        one = Member(log, "one/a/200", takeover_seconds=1.6)
        two = Member(log, "two/b/100")
        one.start()
        await wait_for(lambda: read_epochs(log))
        two.start()
        await wait_for(lambda: one.events)
        await asyncio.sleep(0.5)
        for member in (one, two):
            member.kill()
        return one.events, two.events, read_epochs(log)

    one, two, epochs = asyncio.run(scenario())
    assert one == [("acquired", 1)]
    assert two == []
    assert epochs == [1]


async def leave_during_a_call(log, *, begun):
    """Start a member, let it leave once a condition holds, and wait for its calls."""
    one = Member(log, "one/a/200")
    one.start()
    await wait_for(lambda: begun(one))
    await asyncio.sleep(0.1)
    await one.ownership.leave()
    left = set(log.members)
    await asyncio.sleep(0.6)
    one.kill()
    return one, left


def test_a_claim_that_ends_after_the_process_has_left_is_released():
    async def scenario():
        log = MemoryKeyedLog()
        log.append_delay = 0.2
        one, _ = await leave_during_a_call(log, begun=lambda one: log.members)
        return one.events, decode_owner(log.topics[OWNER_TOPIC][-1].value)

    events, owner = asyncio.run(scenario())
    assert ("acquired", 1) not in events
    assert owner.member == ""


def test_a_process_that_has_left_does_not_join_again_by_a_call_under_way():
    async def scenario():
        log = MemoryKeyedLog()
        log.join_delay = 0.2
        _, left = await leave_during_a_call(log, begun=lambda one: one.events)
        return left, set(log.members)

    assert asyncio.run(scenario()) == (set(), set())


def test_a_planned_stop_releases_the_cell_at_once():
    async def scenario(log, one, two):
        await wait_for(lambda: "two/b/100" in log.members)
        await asyncio.sleep(0.05)
        started = asyncio.get_running_loop().time()
        await one.ownership.leave()
        await wait_for(lambda: two.events)
        return one.events, two.events, asyncio.get_running_loop().time() - started

    one, two, elapsed = run_members(scenario)
    assert one[-1][0] == "lost"
    assert two == [("acquired", 2)]
    assert elapsed < 0.1


# queries at a stopping owner waited for an owner for half of their time
def test_an_owner_that_stops_learns_who_its_successor_is():
    async def scenario(log, one, two):
        await wait_for(lambda: "two/b/100" in log.members)
        await asyncio.sleep(0.05)
        await one.ownership.leave()
        await wait_for(lambda: two.events)
        async with asyncio.timeout(1.0):
            await wait_for(lambda: one.ownership.owner == two.ownership.member)

    run_members(scenario)


def test_a_dead_owner_is_replaced_under_a_higher_epoch():
    async def scenario(log, one, two):
        await wait_for(lambda: "two/b/100" in log.members)
        one.kill()
        del log.members[one.ownership.member]
        log.generation += 1
        await wait_for(lambda: two.events)
        return two.events

    assert run_members(scenario) == [("acquired", 2)]


def test_a_replaced_owner_drops_the_cell_when_it_verifies():
    async def scenario(log, one, two):
        record = OwnerRecord(Epoch(7), MemberName("other"))
        log.topics[OWNER_TOPIC].append(Entry(OWNER_KEY, encode_owner(record)))
        await one.ownership.verify()
        return one.events

    assert run_members(scenario)[-1][0] == "lost"


def test_one_of_two_concurrent_claims_wins():
    async def scenario():
        log = MemoryKeyedLog()
        members = [Member(log, name) for name in ("one/a/200", "two/b/100")]
        for member in members:
            await log.join(member.ownership.member, generation=0)
        log.append_delay = 0.01
        one, two = members
        one.ownership.log = FixedMembers(log, one.ownership.member)
        two.ownership.log = FixedMembers(log, two.ownership.member)
        await asyncio.gather(*(member.ownership._claim_if_due() for member in members))
        return [event for member in members for event in member.events], log

    events, log = asyncio.run(scenario())
    assert events == [("acquired", 1)]
    assert read_epochs(log) == [1]


@pytest.mark.parametrize(
    ("owner", "members", "expected"),
    [
        (None, ("me/1/50", "a/1/40"), True),
        (None, ("me/1/50", "a/1/200"), False),
        (None, ("me/1/50", "odd"), True),
        (OwnerRecord(Epoch(1), MemberName("")), ("me/1/50",), True),
        (OwnerRecord(Epoch(1), MemberName("a/1/40")), ("me/1/50", "a/1/40"), False),
        (OwnerRecord(Epoch(1), MemberName("a/1/40")), ("me/1/50", "a/2/40"), True),
        (OwnerRecord(Epoch(1), MemberName("a/1/40")), ("me/1/50", "b/1/60"), False),
        (OwnerRecord(Epoch(1), MemberName("me/1/50")), ("b/1/60",), True),
    ],
)
def test_should_take_over(owner, members, expected):
    me = MemberName("me/1/50")
    assert should_take_over(owner, this_member=me, members=members) is expected


def test_a_member_name_contains_address_and_capacity():
    member = build_member_name(InstanceId("i"), "p", address="h:1", cores=1.075)
    assert member == "i/p/h:1/108"
    assert parse_address(member) == "h:1"


def test_a_malformed_owner_record_is_rejected():
    with pytest.raises(CorruptRecordError):
        decode_owner(b"\xff\x00")


def test_a_claim_whose_answer_was_lost_is_repeated():
    async def scenario():
        log = MemoryKeyedLog()
        log.append_faults = ["lose"]
        member = Member(log, "one")
        member.start()
        await wait_for(lambda: member.events)
        member.kill()
        return member.events

    assert asyncio.run(scenario()) == [("acquired", 2)]


def test_a_much_larger_process_gets_the_cell_when_it_joins():
    async def scenario(log, one, two):
        await wait_for(lambda: "two/b/100" in log.members)
        large = Member(log, "large/c/900")
        large.start()
        try:
            await wait_for(lambda: large.events)
            return one.events, two.events, large.events
        finally:
            large.kill()

    one, two, large = run_members(scenario)
    assert [name for name, _ in one] == ["acquired", "before_release", "lost"]
    assert two == []
    assert large == [("acquired", 2)]


@pytest.mark.parametrize(
    ("other", "expected"),
    [("a/1/140", False), ("a/1/150", True), ("a/1/20", False), ("odd", False)],
)
def test_should_hand_over(other, expected):
    me = MemberName("me/1/100")
    assert should_hand_over(me, [me, MemberName(other)]) is expected


def test_an_owner_keeps_the_cell_while_it_waits_for_workers_of_an_earlier_one():
    async def scenario():
        log = MemoryKeyedLog()
        small, large = (Member(log, name) for name in ("a/1/h:1/50", "b/2/h:2/200"))
        waiting = [True]
        small.ownership.is_recovering = lambda: waiting[0]
        small.start()
        await wait_for(lambda: small.events)
        large.start()
        await asyncio.sleep(1)
        before = list(large.events)
        waiting[0] = False
        await wait_for(lambda: large.events)
        for member in (small, large):
            member.kill()
        return before, large.events

    assert asyncio.run(scenario()) == ([], [("acquired", 2)])


def test_an_owner_never_hands_over_to_itself():
    me = MemberName("odd")
    assert not should_hand_over(me, [me])


def test_a_membership_change_is_handled_although_reading_members_failed():
    async def scenario(log, one, two):
        await wait_for(lambda: "two/b/100" in log.members)
        await asyncio.sleep(0.4)
        list_members, failures = log.list_members, [True, True]

        async def fail():
            if failures:
                failures.pop()
                raise UnavailableError("refused", step="log.members")
            return await list_members()

        log.list_members = fail
        one.kill()
        del log.members[one.ownership.member]
        log.generation += 1
        await wait_for(lambda: two.events)
        return two.events

    assert run_members(scenario) == [("acquired", 2)]


async def run_recorded_owner(scenario):
    """Run a scenario with an owner and a member that ranks higher by its name."""
    log = MemoryKeyedLog()
    one, two = Member(log, "one/a/100"), Member(log, "two/b/100")
    one.start()
    await wait_for(lambda: one.events)
    two.start()
    await wait_for(lambda: two.ownership.member in one.ownership.members)
    try:
        return await scenario(log, one, two)
    finally:
        for member in (one, two):
            member.kill()


def fail_once(call):
    """Return a call that is refused the first time."""
    refusals = [UnavailableError("refused", step="log.members")]

    async def call_or_fail(*args):
        if refusals:
            raise refusals.pop()
        return await call(*args)

    return call_or_fail


@pytest.mark.parametrize("fault", ["claim", "members", "owner", "takeover"])
def test_a_cell_that_its_recorded_owner_dropped_is_claimed_although_a_call_fails(fault):
    async def scenario(log, one, two):
        match fault:
            case "claim":
                log.append_faults = ["refuse"]
            case "members":
                log.list_members = fail_once(log.list_members)
            case "owner":
                log.read_newest = fail_once(log.read_newest)
            case "takeover":
                one.ownership.on_acquired = fail_once(one.ownership.on_acquired)
        one.ownership.drop("a worker has seen a higher epoch")
        await wait_for(lambda: one.events[-1][0] == "acquired")
        return [event for event in one.events if event[0] == "acquired"], two.events

    acquired, others = asyncio.run(run_recorded_owner(scenario))
    assert len(acquired) == 2
    assert others == []


def test_a_recorded_owner_that_drops_the_cell_twice_claims_it_again():
    async def scenario(log, one, two):
        for _ in range(2):
            one.ownership.drop("a worker has seen a higher epoch")
            await wait_for(lambda: one.events[-1][0] == "acquired")
            await asyncio.sleep(0.7)
        return [event for event in one.events if event[0] == "acquired"]

    assert len(asyncio.run(run_recorded_owner(scenario))) == 3


def test_a_change_is_still_due_after_an_unexpected_error():
    async def scenario():
        one = Member(MemoryKeyedLog(), "one/a/100").ownership
        one._owner_changed = True
        claim = one._claim_if_due

        async def fail():
            raise RuntimeError("a programming error")

        one._claim_if_due = fail
        with pytest.raises(RuntimeError):
            await one._handle_change()
        one._claim_if_due = claim
        await one.log.join(one.member, generation=0)
        await one._handle_change()
        return one.epoch

    assert asyncio.run(scenario()) == 1


# an owner acted on until a worker or the log refused it
def test_an_owner_drops_the_cell_as_soon_as_the_record_names_another():
    async def scenario(log, one, two):
        record = OwnerRecord(Epoch(7), MemberName("other"))
        log.topics[OWNER_TOPIC].append(Entry(OWNER_KEY, encode_owner(record)))
        # it may claim the cell again at once, as the other owner is no member
        await wait_for(lambda: len(one.events) > 1)
        return one.events[:2]

    first, second = run_members(scenario)
    assert first == ("acquired", 1)
    assert second == ("lost", "epoch 7 is newer")


# a stopping owner acted on beside its successor
@pytest.mark.parametrize("fault", ["refuse", "lose"])
def test_an_owner_that_leaves_stops_acting_although_its_release_fails(fault):
    async def scenario(log, one, two):
        log.append_faults = [fault]
        await one.ownership.leave()
        return one.events

    assert run_members(scenario)[-1][0] == "lost"

"""Tests of an owner that goes on while the log is away for all instances."""

import asyncio
import itertools

import pytest

from plantainhinge.core.clock import read_uptime
from plantainhinge.core.errors import UnavailableError, UncertainError
from plantainhinge.core.ids import MemberName
from plantainhinge.daemons.deferrals import NOT_DEFERRED, Deferrals
from plantainhinge.fleet.protocols import Group
from plantainhinge.jobs.forwarding import (
    PassedDeferral,
    PassedResponse,
    decode_call,
    encode_call,
)
from plantainhinge.jobs.outcomes import CallOutcome
from plantainhinge.jobs.ownership import (
    DEFERRAL_SECONDS,
    compute_deferral_end,
)
from standins.platform_group import StandInGroup

from .keyed_log import MemoryKeyedLog
from .test_ownership import Member, wait_for

OWNER = MemberName("one/a/h1:1/200")
SUCCESSOR = MemberName("two/b/h2:1/100")
GRANTED = PassedResponse(CallOutcome.DONE, age=1.0)
NOT_GRANTED = PassedResponse(CallOutcome.DONE)
UNREACHABLE = PassedResponse(CallOutcome.REFUSED)


class FixedAnswers:
    """Peers that answer each call the same way."""

    def __init__(self, *answers):
        self.answers = answers

    async def ask_all(self, peers, call, *, timeout):
        assert len(peers) == len(self.answers)
        return [(answer, read_uptime()) for answer in self.answers]


def make_deferrals(*answers, silence=5.0, complete=True, settled_seconds=10.0):
    ownership = Member(MemoryKeyedLog(), OWNER).ownership
    now = read_uptime()
    members = [OWNER, *(f"m{n}/x/h:{n}/100" for n in range(len(answers)))]
    ownership._roster.note(Group(frozenset(members), complete), now=now)
    ownership._roster.changed_at = now - settled_seconds
    ownership.joined_at = now
    return Deferrals(ownership, FixedAnswers(*answers), lambda: silence)


def request(deferrals, *, age=1.0):
    now = read_uptime()
    deferrals.ownership.joined_at = now - age
    return asyncio.run(deferrals.request(now - age)) - now


def test_an_owner_goes_on_if_all_members_defer():
    until = request(make_deferrals(GRANTED, GRANTED))
    assert 1.5 < until < DEFERRAL_SECONDS


@pytest.mark.parametrize("answer", [NOT_GRANTED, UNREACHABLE])
def test_one_member_that_does_not_defer_ends_what_the_others_allow(answer):
    assert request(make_deferrals(GRANTED, answer)) == NOT_DEFERRED


def test_a_member_that_had_the_log_for_longer_may_know_a_later_owner():
    late = PassedResponse(CallOutcome.DONE, age=0.8)
    assert request(make_deferrals(GRANTED, late), age=1.6) == NOT_DEFERRED


@pytest.mark.parametrize("options", [{"complete": False}, {"settled_seconds": 4.0}])
def test_an_owner_does_not_rely_on_members_if_there_may_be_others(options):
    deferrals = make_deferrals(GRANTED, **options)
    deferrals.peers = FixedAnswers()
    assert request(deferrals) == NOT_DEFERRED


def test_an_owner_without_other_members_does_not_vouch_for_itself():
    assert request(make_deferrals()) == NOT_DEFERRED


# a process that was restarting when the cut began joined beyond it
def test_a_process_that_is_missing_from_the_group_is_asked_too():
    deferrals = make_deferrals(GRANTED, UNREACHABLE)
    now = read_uptime()
    group = Group(frozenset({OWNER, MemberName("m0/x/h:0/100")}), True)
    deferrals.ownership._roster.note(group, now=now)
    assert request(deferrals) == NOT_DEFERRED


def test_a_member_with_a_malformed_name_does_not_vouch():
    deferrals = make_deferrals(GRANTED)
    deferrals.ownership._roster.note(Group(frozenset({"odd"}), True), now=read_uptime())
    assert request(deferrals) == NOT_DEFERRED


def test_a_member_joined_since_the_last_look_is_not_overlooked():
    deferrals = make_deferrals(GRANTED)
    deferrals.ownership._generation += 1
    deferrals.peers = FixedAnswers()
    assert request(deferrals) == NOT_DEFERRED


@pytest.mark.parametrize(
    ("silence", "epoch", "owner", "granted"),
    [
        (1.2, None, OWNER, True),
        (0.3, None, OWNER, False),
        (float("inf"), None, OWNER, False),
        (1.2, 4, OWNER, False),
        (1.2, None, "three/c/h3:1/100", False),
        (1.2, None, "", False),
    ],
    ids=["silent", "answers", "never answered", "owns", "other owner", "knows none"],
)
def test_a_member_defers_only_if_the_log_is_silent_and_no_other_owner_known(
    silence, epoch, owner, granted
):
    deferrals = make_deferrals(silence=silence)
    deferrals.ownership.epoch, deferrals.ownership.owner = epoch, owner
    response = deferrals.grant(PassedDeferral(OWNER))
    assert (response.age is not None) is granted


def test_a_deferral_is_passed_as_a_call():
    assert decode_call(encode_call(PassedDeferral(OWNER))) == PassedDeferral(OWNER)


def test_no_deferral_counts_if_anyone_could_have_missed_the_owner():
    assert compute_deferral_end([10.5, 10.8], confirmed_at=10.0, asked_at=11.0) < 0
    until = compute_deferral_end([10.5, 10.6], confirmed_at=10.0, asked_at=11.0)
    assert 12.9 < until < 11.0 + DEFERRAL_SECONDS


def run_takeover(scenario):
    """Run a scenario with an owner that is missed and the member that follows it."""

    async def run():
        log = MemoryKeyedLog()
        members = [Member(log, OWNER), Member(log, SUCCESSOR)]
        for member in members:
            member.start()
        try:
            await wait_for(lambda: members[0].events and SUCCESSOR in log.members)
            await wait_for(lambda: members[1].ownership.owner == OWNER)
            return await scenario(log, *members)
        finally:
            for member in members:
                member.kill()

    return asyncio.run(run())


def miss_owner(log, owner):
    owner.kill()
    del log.members[OWNER]
    log.generation += 1


def test_a_member_that_deferred_takes_over_only_afterwards():
    async def scenario(log, owner, successor):
        started = read_uptime()
        assert successor.ownership.defer_claims(1.5, owner=OWNER)
        miss_owner(log, owner)
        await wait_for(lambda: successor.events)
        return read_uptime() - started

    assert 1.5 <= run_takeover(scenario) < 2.5


def test_a_claim_under_way_is_not_deferred():
    async def scenario(log, owner, successor):
        log.append_delay = 0.3
        miss_owner(log, owner)
        await wait_for(lambda: successor.ownership._is_claiming)
        return successor.ownership.defer_claims(1.5, owner=OWNER)

    assert run_takeover(scenario) is False


# the larger process claimed at once, while the owner relied on its deferral
def test_a_deferral_holds_although_the_owner_released_the_cell_unanswered():
    async def scenario(log, owner, successor):
        assert successor.ownership.defer_claims(1.5, owner=OWNER)
        started = read_uptime()
        owner.kill()
        log.append_faults = ["lose"]
        with pytest.raises(UncertainError):
            await owner.ownership._release("a test")
        del log.members[OWNER]
        log.generation += 1
        await wait_for(lambda: successor.events)
        return read_uptime() - started

    assert run_takeover(scenario) >= 1.5


# each lost answer of a join delayed the takeover by another second
def test_lost_answers_of_joins_delay_no_takeover():
    async def scenario(log, owner, successor):
        join, calls = log.join, itertools.count()

        async def lose_every_second(member, *, generation):
            result = await join(member, generation=generation)
            if next(calls) % 2:
                await asyncio.sleep(0.8)
                raise UncertainError("answer lost", step="log.join")
            return result

        log.join = lose_every_second
        started = read_uptime()
        miss_owner(log, owner)
        await wait_for(lambda: successor.events)
        return read_uptime() - started

    assert run_takeover(scenario) < 3.0


class SmallGroupLog(MemoryKeyedLog):
    """A log whose group lists only members that hold a partition, as the store does."""

    def __init__(self):
        super().__init__()
        self.group = StandInGroup()
        self.cut_off = set()

    async def join(self, member, *, generation):
        if member in self.cut_off:
            raise UnavailableError("cut off", step="log.join")
        now = asyncio.get_running_loop().time()
        self.group.expire(now)
        partitions = [("members", index) for index in range(12)]
        self.group.join(member, partitions, until=now + 1.0, generation=generation)
        return self.group.generation

    async def list_members(self):
        self.group.expire(asyncio.get_running_loop().time())
        rows = self.group.list_held()
        members = frozenset(member for _, member in rows)
        return Group(members, len(members) < len(rows))


# after an outage the owner saw nobody else in the group and vouched for itself
@pytest.mark.parametrize("gap_seconds", [0.4, 1.2, 2.0])
def test_an_owner_cut_off_soon_after_an_outage_does_not_vouch_for_itself(gap_seconds):
    async def run():
        log = SmallGroupLog()
        members = [Member(log, name) for name in (OWNER, SUCCESSOR)]
        for member in members:
            member.start()
        try:
            await wait_for(lambda: any(member.events for member in members))
            await asyncio.sleep(0.8)
            log.cut_off = {OWNER, SUCCESSOR}
            await asyncio.sleep(2.0)
            log.cut_off = set()
            await asyncio.sleep(gap_seconds)
            owner = next(each for each in members if each.events).ownership
            log.cut_off = {owner.member}
            deferrals = Deferrals(owner, NobodyAnswers(), lambda: 5.0)
            return [await request_later(deferrals, owner.joined_at) for _ in range(6)]
        finally:
            for member in members:
                member.kill()

    assert set(asyncio.run(run())) == {NOT_DEFERRED}


class NobodyAnswers:
    """Peers that the owner doesn't reach."""

    async def ask_all(self, peers, call, *, timeout):
        return [(UNREACHABLE, read_uptime()) for _ in peers]


async def request_later(deferrals, confirmed_at):
    await asyncio.sleep(0.4)
    return await deferrals.request(confirmed_at)

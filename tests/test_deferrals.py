"""Tests of an owner that goes on while the log is away for all instances."""

import asyncio

import pytest

from plantainhinge.core.clock import read_uptime
from plantainhinge.core.errors import UnavailableError
from plantainhinge.core.ids import MemberName
from plantainhinge.daemons import ownership as ownership_module
from plantainhinge.daemons.deferrals import NOT_DEFERRED, Deferrals
from plantainhinge.jobs.forwarding import (
    PassedDeferral,
    PassedResponse,
    decode_call,
    encode_call,
)
from plantainhinge.jobs.outcomes import CallOutcome
from plantainhinge.jobs.ownership import (
    DEFERRAL_SECONDS,
    OwnerRecord,
    compute_deferral_end,
    has_ended,
)

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

    async def ask_all(self, call, *, timeout):
        return [(answer, read_uptime()) for answer in self.answers]


def make_deferrals(*answers, silence=5.0, complete=True):
    ownership = Member(MemoryKeyedLog(), OWNER).ownership
    ownership._is_group_complete = complete
    ownership.joined_at = read_uptime()
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


def test_an_owner_does_not_rely_on_members_if_there_may_be_others():
    assert request(make_deferrals(GRANTED, complete=False)) == NOT_DEFERRED


def test_a_member_joined_since_the_last_look_is_not_overlooked():
    deferrals = make_deferrals(GRANTED)
    deferrals.ownership._generation += 1
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


@pytest.mark.parametrize(
    ("owner", "ended"),
    [
        (None, True),
        ("", True),
        (OWNER, False),
        (SUCCESSOR, False),
        ("two/older/h2:1/100", True),
        ("odd", False),
    ],
)
def test_only_a_release_or_an_own_predecessor_surely_ended_an_ownership(owner, ended):
    record = None if owner is None else OwnerRecord(1, owner)
    assert has_ended(record, this_member=SUCCESSOR) is ended


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
        await asyncio.sleep(ownership_module.REJOIN_SECONDS)
        started = read_uptime()
        assert successor.ownership.defer_claims(1.5, owner=OWNER)
        miss_owner(log, owner)
        await wait_for(lambda: successor.events)
        return read_uptime() - started

    assert 1.5 <= run_takeover(scenario) < 2.5


def test_a_claim_under_way_is_not_deferred():
    async def scenario(log, owner, successor):
        await asyncio.sleep(ownership_module.REJOIN_SECONDS)
        log.append_delay = 0.3
        miss_owner(log, owner)
        await wait_for(lambda: successor.ownership._is_claiming)
        return successor.ownership.defer_claims(1.5, owner=OWNER)

    assert run_takeover(scenario) is False


# after an outage whoever came back first replaced an owner that lived
def test_an_owner_that_joins_again_after_an_outage_is_not_replaced():
    async def scenario(log, owner, successor):
        join, cut_off = log.join, {OWNER, SUCCESSOR}

        async def join_unless_cut_off(member, *, generation):
            if member in cut_off:
                raise UnavailableError("away", step="log.join")
            return await join(member, generation=generation)

        log.join = join_unless_cut_off
        await asyncio.sleep(1.5)
        del log.members[OWNER]
        log.generation += 1
        cut_off.remove(SUCCESSOR)
        await asyncio.sleep(0.6)
        cut_off.clear()
        await asyncio.sleep(1.5)
        return owner.events, successor.events

    owner, successor = run_takeover(scenario)
    assert owner == [("acquired", 1)]
    assert successor == []

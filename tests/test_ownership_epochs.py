"""No two ownerships have one epoch, whatever becomes of claims and releases."""

import asyncio

from hypothesis import given, settings, strategies as st

from plantainhinge.core.clock import read_monotonic
from plantainhinge.core.errors import ConflictError, PlantainhingeError, UncertainError
from plantainhinge.daemons.ownership import OWNER_TOPIC
from plantainhinge.fleet.protocols import Group
from plantainhinge.jobs.ownership import decode_owner

from .keyed_log import MemoryKeyedLog
from .test_ownership import Member

NAMES = ("one/a/200", "two/b/100", "three/c/100")


class LateLog(MemoryKeyedLog):
    """A log that answers some appends in vain and carries them out later, or never.

    Every member sees itself alone in the group, so that all of them claim.
    """

    def __init__(self):
        super().__init__()
        self.late = []
        self.is_late = False

    async def append(self, topic, entries, *, fence=None, expected_end=None):
        if self.is_late:
            self.is_late = False
            self.late.append((topic, entries, fence, expected_end))
            raise UncertainError("no answer", step="log.append")
        return await super().append(
            topic, entries, fence=fence, expected_end=expected_end
        )

    async def deliver(self):
        for topic, entries, fence, end in self.late[:1]:
            self.late.pop(0)
            try:
                self._append(topic, entries, fence, end)
            except ConflictError:
                continue


async def claim(ownership, log):
    if ownership.epoch is None:
        await ownership._claim_if_due()


async def look(ownership, log):
    if ownership.epoch is not None:
        await ownership._hand_over_if_due()


async def release(ownership, log):
    if ownership.epoch is not None:
        await ownership._release("a test")


async def drop(ownership, log):
    ownership.drop("a test")


async def deliver(ownership, log):
    await log.deliver()


async def answer_late(ownership, log):
    log.is_late = True


async def lose_answer(ownership, log):
    log.append_faults = ["lose"]


ACTIONS = [claim, claim, look, release, drop, deliver, answer_late, lose_answer]


async def apply(action, ownership, log):
    async def list_members():
        return Group(frozenset({ownership.member}), is_complete=True)

    log.list_members = list_members
    # the group answers, so that a claim needn't wait for an owner to join again
    ownership.answered_at = read_monotonic()
    try:
        await action(ownership, log)
    except PlantainhingeError:
        return


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(ACTIONS), st.integers(0, len(NAMES) - 1)),
        max_size=30,
    )
)
def test_no_two_ownerships_have_one_epoch(events):
    async def run():
        log = LateLog()
        members = [Member(log, name) for name in NAMES]
        for action, number in events:
            await apply(action, members[number].ownership, log)
        return members, log

    members, log = asyncio.run(run())
    acquired = [
        epoch
        for member in members
        for event, epoch in member.events
        if event == "acquired"
    ]
    assert len(acquired) == len(set(acquired))
    owners = [decode_owner(entry.value) for entry in log.topics[OWNER_TOPIC]]
    claims = [owner.epoch for owner in owners if owner.member]
    assert claims == sorted(set(claims))

"""Keeps this instance in the group and claims the cell when that is due."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ..core.clock import read_monotonic
from ..core.errors import (
    ConflictError,
    CorruptRecordError,
    PlantainhingeError,
    TrimmedError,
)
from ..core.ids import Epoch, MemberName, Seconds
from ..core.log_events import write_event
from ..fleet.protocols import Entry, KeyedLog, Page
from ..jobs.ownership import (
    OWNER_KEY,
    OwnerRecord,
    choose_candidate,
    decode_owner,
    encode_owner,
    should_hand_over,
    should_take_over,
)
from .ownership_events import (
    CellClaimed,
    CellGivenUp,
    CellHandedOver,
    ClaimLost,
    GroupCallFailed,
    JoinedGroup,
    LeavingFailed,
    OwnerUnreadable,
    OwnerUnwatched,
)

logger = logging.getLogger(__name__)

OWNER_TOPIC = "keyed.cells"
JOIN_SECONDS = Seconds(0.3)
JOIN_PAUSE_SECONDS = 0.02
WATCH_SECONDS = Seconds(2.0)
RECHECK_SECONDS = Seconds(2.0)


@dataclass
class Ownership:
    """This process's part in who owns the cell.

    Parameters
    ----------
    member : MemberName
        This process's name in the group.
    own : callable
        Begins to act as the owner under an epoch.
    disown : callable
        Stops acting at once.
    finish : callable
        Logs what is due before the cell is released.
    contact_at : float
        Monotonic seconds of the last answer of the group.
    members : frozenset of MemberName
        The group as it was last seen.
    owner : MemberName
        The owner by its newest record seen; empty if there is none.
    """

    log: KeyedLog
    member: MemberName
    own: Callable[[Epoch], Awaitable[None]]
    disown: Callable[[str], None]
    finish: Callable[[], Awaitable[None]]
    epoch: Epoch | None = None
    contact_at: float = float("-inf")
    members: frozenset[MemberName] = frozenset()
    owner: MemberName = MemberName("")
    leaving: bool = False
    _generation: int = 0
    _candidate: bool = False
    _change_seen: bool = False
    _checked_at: float = float("-inf")
    _position: int | None = None
    _nudged: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def is_standby(self) -> bool:
        """Whether this process should own the cell if the owner fails."""
        others = self.members - {self.owner}
        return self.epoch is None and choose_candidate(others) == self.member

    async def run(self) -> None:
        """Stay in the group until cancelled."""
        while not self.leaving:
            started = read_monotonic()
            try:
                await self._step()
            except PlantainhingeError as error:
                self._note_loss(error)
            pause = JOIN_SECONDS - (read_monotonic() - started)
            await self._wait(max(JOIN_PAUSE_SECONDS, pause))

    async def watch(self) -> None:
        """Notice at once when an owner gives the cell up, until cancelled."""
        while not self.leaving:
            try:
                await self._read_on()
            except PlantainhingeError as error:
                write_event(logger, OwnerUnwatched(cause=str(error)))
                await asyncio.sleep(JOIN_SECONDS)

    async def verify(self) -> None:
        """Read the owner's record; stop acting if it names another."""
        owner, _ = await self._read_owner()
        if self.epoch is not None and not self._is_mine(owner):
            self.drop(f"epoch {owner.epoch if owner else 0} is newer")

    async def leave(self) -> None:
        """Give the cell up and leave the group."""
        self.leaving = True
        try:
            await self.log.leave(self.member)
            if self.epoch is not None:
                await self._release("leaving")
        except PlantainhingeError as error:
            write_event(logger, LeavingFailed(cause=str(error)))

    def drop(self, reason: str) -> None:
        """Stop acting for the cell at once."""
        if self.epoch is None:
            return
        write_event(logger, CellGivenUp(epoch=self.epoch, cause=reason))
        self.epoch = None
        self.disown(reason)

    async def _step(self) -> None:
        generation = await self.log.join(self.member, generation=self._generation)
        if self.contact_at == float("-inf"):
            write_event(logger, JoinedGroup(member=self.member))
        self.contact_at = read_monotonic()
        if generation != self._generation or self._nudged.is_set():
            self._change_seen = False
        self._generation = generation
        self._nudged.clear()
        due = self._candidate and self.contact_at - self._checked_at > RECHECK_SECONDS
        if self._change_seen and not due:
            return
        if self.epoch is None:
            await self._consider()
        else:
            await self._hand_over()
        self._change_seen = True

    async def _wait(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._nudged.wait()
        except TimeoutError:
            return

    async def _read_on(self) -> None:
        if self._position is None:
            self._position = (await self.log.read_newest(OWNER_TOPIC)).end
        try:
            page = await self.log.read(
                OWNER_TOPIC, start=self._position, wait=WATCH_SECONDS
            )
        except TrimmedError:
            self._position = None
            return
        self._position = page.end
        if page.entries:
            self._decode_owner(page)
            self._nudged.set()

    async def _consider(self) -> None:
        owner, end = await self._read_owner()
        members = self.members = await self.log.list_members()
        self._candidate = choose_candidate(members) == self.member
        if not should_take_over(owner, this_member=self.member, members=members):
            self._checked_at = read_monotonic()
            return
        epoch = Epoch(owner.epoch + 1 if owner is not None else 1)
        try:
            await self._write_owner(OwnerRecord(epoch, self.member), end)
        except ConflictError as error:
            write_event(logger, ClaimLost(epoch=epoch, cause=str(error)))
            return
        event = CellClaimed(
            epoch=epoch,
            generation=self._generation,
            previous=owner.member if owner else MemberName(""),
            members=len(members),
        )
        write_event(logger, event)
        self.epoch = epoch
        try:
            await self.own(epoch)
        except PlantainhingeError as error:
            self.drop(f"takeover failed: {error}")

    async def _hand_over(self) -> None:
        """Release the cell if a much larger process is there."""
        self._checked_at = read_monotonic()
        members = self.members = await self.log.list_members()
        candidate = choose_candidate(members)
        if candidate is None or not should_hand_over(self.member, members):
            return
        write_event(logger, CellHandedOver(to=candidate))
        await self.finish()
        await self._release("a larger process is there")

    async def _release(self, reason: str) -> None:
        owner, end = await self._read_owner()
        if self.epoch is not None and self._is_mine(owner):
            released = OwnerRecord(self.epoch, MemberName(""))
            await self._write_owner(released, end)
        self.drop(reason)

    async def _read_owner(self) -> tuple[OwnerRecord | None, int]:
        page = await self.log.read_newest(OWNER_TOPIC)
        return self._decode_owner(page), page.end

    def _decode_owner(self, page: Page) -> OwnerRecord | None:
        """Return the newest owner's record in a page, and remember who it names."""
        owner = None
        for entry in page.entries:
            if entry.key == OWNER_KEY and entry.value:
                try:
                    owner = decode_owner(entry.value)
                except CorruptRecordError as error:
                    write_event(logger, OwnerUnreadable(cause=str(error)))
        if owner is not None:
            self.owner = owner.member
        return owner

    async def _write_owner(self, record: OwnerRecord, end: int) -> None:
        entry = Entry(OWNER_KEY, encode_owner(record))
        await self.log.append(OWNER_TOPIC, [entry], expected_end=end)

    def _is_mine(self, owner: OwnerRecord | None) -> bool:
        return owner == OwnerRecord(self.epoch or Epoch(0), self.member)

    def _note_loss(self, error: PlantainhingeError) -> None:
        event = GroupCallFailed(
            cause=str(error), silent_s=read_monotonic() - self.contact_at
        )
        write_event(logger, event)

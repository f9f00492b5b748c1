"""Group membership of this instance, and its ownership of the cell.

The group detects which instances are alive. The owner's record in the log decides who
owns the cell: it changes by conditional append, so one of several concurrent claims
wins.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ..core.clock import read_monotonic, read_uptime
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
from .roster import Roster

logger = logging.getLogger(__name__)

OWNER_TOPIC = "keyed.cells"
JOIN_INTERVAL_SECONDS = Seconds(0.3)
JOIN_PAUSE_SECONDS_MIN = 0.02
WATCH_WAIT_SECONDS = Seconds(2.0)
RECHECK_INTERVAL_SECONDS = Seconds(2.0)


@dataclass
class Ownership:
    """This process's membership in the group and its ownership of the cell.

    Parameters
    ----------
    member : MemberName
        This process's name in the group.
    on_acquired : callable
        Called with the epoch after a successful claim.
    on_lost : callable
        Called with the reason once this process no longer owns the cell.
    before_release : callable
        Called before the cell is handed over to another process.
    is_recovering : callable
        Returns whether this process, as the owner, still waits for workers that may run
        attempts of an earlier owner.
    answered_at : float
        Monotonic time of the group's last answer, in seconds.
    members : frozenset of MemberName
        The members of the group as of the last read.
    owner : MemberName
        The owner by the latest record read; empty if there is none.
    joined_at : float
        ``read_uptime`` before the newest join that was answered, in seconds.
    """

    log: KeyedLog
    member: MemberName
    on_acquired: Callable[[Epoch], Awaitable[None]]
    on_lost: Callable[[str], None]
    before_release: Callable[[], Awaitable[None]]
    is_recovering: Callable[[], bool] = lambda: False
    epoch: Epoch | None = None
    answered_at: float = float("-inf")
    joined_at: float = float("-inf")
    members: frozenset[MemberName] = frozenset()
    owner: MemberName = MemberName("")
    leaving: bool = False
    _generation: int = 0
    _handled_generation: int = 0
    _is_candidate: bool = False
    _is_claiming: bool = False
    _deferred_until: float = float("-inf")
    _roster: Roster = field(default_factory=Roster)
    _checked_at: float = float("-inf")
    _position: int | None = None
    _owner_changed: bool = False
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _group_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def is_standby(self) -> bool:
        """Whether this process is the next owner if the current one fails."""
        others = self.members - {self.owner}
        return self.epoch is None and choose_candidate(others) == self.member

    def list_vouchers(self) -> list[MemberName]:
        """Return the other processes that could take over; none if that isn't sure."""
        if self._handled_generation != self._generation:
            return []
        return self._roster.list_others(self.member, now=self.joined_at)

    def defer_claims(self, seconds: Seconds, *, owner: MemberName) -> bool:
        """Don't take the cell over for some seconds; return whether that is granted.

        It isn't if this process may own the cell now, or knows another owner.
        """
        if self.epoch is not None or self._is_claiming or self.owner != owner:
            return False
        self._deferred_until = max(self._deferred_until, read_uptime() + seconds)
        return True

    async def run(self) -> None:
        """Stay in the group, and claim or hand over the cell as members change.

        The membership is renewed beside the changes: a claim reads several topics, and
        if the log is slow that takes longer than a membership lasts.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._stay_in_group())
            group.create_task(self._follow_changes())

    async def watch(self) -> None:
        """Wake ``run`` as soon as the owner's record changes.

        This way a planned release is noticed before the next renewal. It goes on until
        it is cancelled: an instance that has left still serves for a while, and asks
        its successor.
        """
        while True:
            try:
                await self._poll_owner()
            except PlantainhingeError as error:
                write_event(logger, OwnerUnwatched(cause=str(error)))
                await asyncio.sleep(JOIN_INTERVAL_SECONDS)

    async def verify(self) -> bool:
        """Read the owner's record and drop the cell if it names another owner.

        Returns
        -------
        bool
            Whether this process owns the cell.
        """
        owner, _ = await self._read_owner()
        if self.epoch is None:
            return False
        if self._is_mine(owner):
            return True
        self.drop(f"epoch {owner.epoch if owner else 0} is newer")
        return False

    async def leave(self) -> None:
        """Leave the group and release the cell; errors are only logged.

        A join under way is awaited first, since it would enter the group again.
        """
        self.leaving = True
        try:
            async with self._group_lock:
                await self.log.leave(self.member)
            if self.epoch is not None:
                await self._release("leaving")
        except PlantainhingeError as error:
            write_event(logger, LeavingFailed(cause=str(error)))
        finally:
            # another process may claim the cell now, and this one wouldn't learn of it
            self.drop("leaving")

    def drop(self, reason: str) -> None:
        """Stop acting as the owner, without changing the owner's record."""
        if self.epoch is None:
            return
        write_event(logger, CellGivenUp(epoch=self.epoch, cause=reason))
        self.epoch = None
        self.on_lost(reason)

    async def _stay_in_group(self) -> None:
        while not self.leaving:
            started = read_monotonic()
            try:
                async with self._group_lock:
                    await self._renew_membership()
            except PlantainhingeError as error:
                self._log_failure(error)
            pause = JOIN_INTERVAL_SECONDS - (read_monotonic() - started)
            await asyncio.sleep(max(JOIN_PAUSE_SECONDS_MIN, pause))

    async def _renew_membership(self) -> None:
        if self.leaving:
            return
        sent = read_uptime()
        generation = await self.log.join(self.member, generation=self._generation)
        if self.answered_at == float("-inf"):
            write_event(logger, JoinedGroup(member=self.member))
        self.answered_at = read_monotonic()
        self.joined_at = sent
        if generation != self._generation:
            self._generation = generation
            self._roster.changed_at = sent
            self._wake.set()

    async def _follow_changes(self) -> None:
        while not self.leaving:
            await self._wait_for_change(JOIN_INTERVAL_SECONDS)
            try:
                await self._handle_change()
            except PlantainhingeError as error:
                self._log_failure(error)
                await asyncio.sleep(JOIN_INTERVAL_SECONDS)

    async def _wait_for_change(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    async def _handle_change(self) -> None:
        """Handle a change of the members or of the owner, if there is one.

        If that fails, it is handled again.
        """
        generation = self._generation
        is_changed = self._owner_changed or generation != self._handled_generation
        if not is_changed and not self._is_recheck_due():
            return
        self._owner_changed = False
        try:
            if self.epoch is None:
                await self._claim_if_due()
            else:
                await self._hand_over_if_due()
        except Exception:
            self._owner_changed = True
            raise
        self._handled_generation = generation

    def _is_recheck_due(self) -> bool:
        # the others wait for the member that the record names, so that one looks too;
        # and a member may be listed later, without a new generation
        is_owner_missing = self.owner not in self.members
        is_due = self._is_candidate or is_owner_missing or self.owner == self.member
        return is_due and (
            read_monotonic() - self._checked_at > RECHECK_INTERVAL_SECONDS
        )

    async def _poll_owner(self) -> None:
        if self._position is None:
            self._position = (await self.log.read_newest(OWNER_TOPIC)).end
        try:
            page = await self.log.read(
                OWNER_TOPIC, start=self._position, wait=WATCH_WAIT_SECONDS
            )
        except TrimmedError:
            self._position = None
            return
        self._position = page.end
        if page.entries:
            self._decode_owner(page)
            self._owner_changed = True
            self._wake.set()

    async def _claim_if_due(self) -> None:
        owner, end = await self._read_owner()
        members = await self._list_members()
        self._is_candidate = choose_candidate(members) == self.member
        if not should_take_over(owner, this_member=self.member, members=members):
            self._checked_at = read_monotonic()
            return
        if self.leaving:
            return
        if read_uptime() < self._deferred_until:
            self._owner_changed = True
            return
        self._is_claiming = True
        try:
            await self._claim(owner, end, members=len(members))
        finally:
            self._is_claiming = False

    async def _claim(
        self, owner: OwnerRecord | None, end: int, *, members: int
    ) -> None:
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
            members=members,
        )
        write_event(logger, event)
        self.epoch = epoch
        self.owner = self.member
        if self.leaving:
            await self._release("leaving")
            return
        try:
            await self.on_acquired(epoch)
        except PlantainhingeError as error:
            self.drop(f"takeover failed: {error}")

    async def _list_members(self) -> frozenset[MemberName]:
        group = await self.log.list_members()
        self._roster.note(group, now=read_uptime())
        self.members = group.members
        return self.members

    async def _hand_over_if_due(self) -> None:
        """Release the cell if a member with many more cores has joined.

        Not while this owner waits for workers: the next one would begin to wait anew.
        If the record names another owner already, the cell is dropped.
        """
        self._checked_at = read_monotonic()
        if not await self.verify():
            self._owner_changed = True
            return
        members = await self._list_members()
        candidate = choose_candidate(members)
        if candidate is None or not should_hand_over(self.member, members):
            return
        if self.is_recovering():
            self._owner_changed = True
            return
        write_event(logger, CellHandedOver(to=candidate))
        await self.before_release()
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
        """Return the latest owner's record of a page and update ``owner`` from it."""
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

    def _log_failure(self, error: PlantainhingeError) -> None:
        event = GroupCallFailed(
            cause=str(error), silent_s=read_monotonic() - self.answered_at
        )
        write_event(logger, event)

"""Owning a stream: claim, confirm, decide, release."""

from typing import Any, Generic, TypeVar

from ..core.ids import Epoch, Seconds
from ..core.records import OwnershipClaimed, OwnershipConfirmed, OwnershipReleased
from ..ledgers.cell import CellState
from ..ledgers.ledger import LedgerState
from ..streams.ownership import CONFIRM_PERIOD_SECONDS, may_act
from ..streams.replica import Replica
from .node import Node

S = TypeVar("S", bound=LedgerState | CellState)


class StreamOwner(Generic[S]):
    """A stream that this process owns or stands ready to take over.

    Subclasses decide in ``decide`` and act in ``act``; both run only while this
    process owns the stream and no proposal is undecided, so each decision sees
    the effect of the one before it.
    """

    def __init__(self, node: Node, replica: Replica[S]) -> None:
        self.node = node
        self.replica = replica
        self._confirm_due = Seconds(0.0)
        self._was_owner = False

    @property
    def state(self) -> S:
        """The replayed state of the stream."""
        return self.replica.reducer

    def owns(self, now: Seconds) -> bool:
        """Return whether this process may act as the owner now."""
        mine = self.state.ownership.owner == self.node.process
        return mine and may_act(self.replica.confirmed_at, now)

    def step(self, now: Seconds, rank: int | None) -> None:
        """Claim, confirm or decide; then let the log move on.

        Parameters
        ----------
        rank : int or None
            Place among the candidates for the stream; None for no candidate.
        """
        self._note_change(now)
        if self.replica.caught_up and not self.replica.has_undecided():
            self._propose(now, rank)
        self.node.driver.drive(self.replica, now, self._find_epoch())

    def release(self) -> None:
        """Propose to hand the stream over, as part of a planned stop."""
        if self.state.ownership.owner == self.node.process:
            self.replica.propose(OwnershipReleased(self._find_epoch()))

    def decide(self, now: Seconds) -> list[Any]:
        """Return the records to propose."""
        raise NotImplementedError

    def act(self, now: Seconds) -> None:
        """Carry out what the replayed state calls for."""
        raise NotImplementedError

    def forget(self) -> None:
        """Drop what only the owner keeps, after the stream was taken over."""
        raise NotImplementedError

    def _propose(self, now: Seconds, rank: int | None) -> None:
        ownership = self.state.ownership
        if ownership.owner == self.node.process:
            self._decide_as_owner(now)
        elif rank is not None and ownership.may_claim(now, rank):
            epoch = Epoch(ownership.epoch + 1)
            claim = OwnershipClaimed(epoch, self.node.process, self.node.address)
            self.replica.propose(claim)

    def _decide_as_owner(self, now: Seconds) -> None:
        records = self.decide(now) if self.owns(now) else []
        if not records and now >= self._confirm_due:
            records = [OwnershipConfirmed(self._find_epoch())]
        if records:
            self._confirm_due = Seconds(now + CONFIRM_PERIOD_SECONDS)
        for record in records:
            self.replica.propose(record)
        if self.owns(now):
            self.replica.take_snapshot(now)
            self.act(now)

    def _find_epoch(self) -> Epoch:
        return self.state.ownership.epoch

    def _note_change(self, now: Seconds) -> None:
        is_owner = self.owns(now)
        if is_owner == self._was_owner:
            return
        self._was_owner = is_owner
        name = "ownership.taken" if is_owner else "ownership.lost"
        epoch = str(self._find_epoch())
        self.node.events.add(name, self.replica.stream, epoch=epoch)
        if not is_owner:
            self.forget()

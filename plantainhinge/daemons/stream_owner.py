"""Ownership of a stream: claiming, confirming, deciding and releasing."""

from collections import deque
from typing import Any, Generic, TypeVar

from ..core.ids import Epoch, Seconds
from ..core.records import (
    AnyRecord,
    OwnershipClaimed,
    OwnershipConfirmed,
    OwnershipReleased,
)
from ..ledgers.cell import CellState
from ..ledgers.ledger import LedgerState
from ..streams.ownership import CONFIRM_PERIOD_SECONDS, may_act
from ..streams.replica import Proposal, Replica
from .node import NO_EPOCH, Node
from .record_events import count_record, describe_record

S = TypeVar("S", bound=LedgerState | CellState)


class StreamOwner(Generic[S]):
    """A stream that this process owns or stands by to take over.

    Subclasses choose records in ``decide``, which is called only while no proposal is
    undecided, so that each decision sees the effect of the previous one. They carry
    out in ``act`` what the accepted records require. An owner that cannot confirm its
    ownership in time does neither.
    """

    def __init__(self, node: Node, replica: Replica[S]) -> None:
        self.node = node
        self.replica = replica
        self._confirm_due = Seconds(0.0)
        self._was_owner = False
        self._active_epoch = NO_EPOCH
        self._releasing = False
        self._released = False
        self._proposals: deque[Proposal] = deque()

    @property
    def state(self) -> S:
        """The replayed state of the stream."""
        return self.replica.reducer

    @property
    def epoch(self) -> Epoch:
        """The newest epoch of the stream."""
        return self.state.ownership.epoch

    def owns(self, now: Seconds) -> bool:
        """Return whether this process owns the stream and confirmed that recently."""
        is_owner = self.state.ownership.owner == self.node.process
        return is_owner and may_act(self.replica.confirmed_at, now)

    def step(self, now: Seconds, rank: int | None) -> None:
        """Act, propose records or a claim, and start the next call to the log.

        Parameters
        ----------
        rank : int or None
            Rank among the candidates for the stream; None if not a candidate.
        """
        self._update_ownership(now)
        self._add_decided_events()
        if self.owns(now) and not self._releasing:
            self.act(now)
        if self.replica.caught_up and not self.replica.has_undecided():
            self._propose(now, rank)
        self.node.driver.drive(self.replica, now, self.epoch)

    def propose(self, record: AnyRecord) -> Proposal:
        """Propose a record; its event is added once the record is accepted."""
        proposal = self.replica.propose(record, urgent=self.is_urgent(record))
        self._proposals.append(proposal)
        return proposal

    def is_urgent(self, record: AnyRecord) -> bool:
        """Return whether a record must be appended without the commit delay."""
        return False

    def release(self) -> None:
        """Begin to release the stream, for a planned stop."""
        self._releasing = True

    def has_released(self) -> bool:
        """Return whether this process is not the recorded owner of the stream."""
        return self.state.ownership.owner != self.node.process

    def is_busy(self) -> bool:
        """Return whether a call is in flight that may still take effect."""
        return False

    def decide(self, now: Seconds) -> list[Any]:
        """Return the records to propose."""
        raise NotImplementedError

    def act(self, now: Seconds) -> None:
        """Carry out what the replayed state requires."""
        raise NotImplementedError

    def activate(self, now: Seconds) -> None:
        """Start acting, under a new epoch or after reconfirming the current one."""
        raise NotImplementedError

    def deactivate(self) -> None:
        """Stop acting, because ownership was lost or not confirmed in time."""
        raise NotImplementedError

    def reset(self) -> None:
        """Drop the state that only an owner keeps, after its epoch has ended."""
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
        if self._releasing:
            if not self.is_busy() and not self._released:
                self._released = True
                self.replica.propose(OwnershipReleased(self.epoch))
            return
        records = self.decide(now) if self.owns(now) else []
        if not records and now >= self._confirm_due:
            records = [OwnershipConfirmed(self.epoch)]
        if records:
            self._confirm_due = Seconds(now + CONFIRM_PERIOD_SECONDS)
        for record in records:
            self.propose(record)
        if self.owns(now):
            self.replica.take_snapshot(now)

    def _add_decided_events(self) -> None:
        while self._proposals and self._proposals[0].decided:
            proposal = self._proposals.popleft()
            if proposal.rejection is None:
                self._add_event(proposal.record)

    def _add_event(self, record: AnyRecord) -> None:
        count_record(record, self.node.metrics)
        event = describe_record(record)
        if event is not None:
            self.node.events.add(
                event.name,
                event.subject,
                routine=False,
                stream=self.replica.stream,
                **event.detail,
            )

    def _update_ownership(self, now: Seconds) -> None:
        is_owner = self.owns(now)
        if not is_owner and self.state.ownership.owner != self.node.process:
            self.state.changed.clear()
            self._leave_epoch()
        if is_owner == self._was_owner:
            return
        self._was_owner = is_owner
        name = "ownership.taken" if is_owner else "ownership.lost"
        self.node.events.add(name, self.replica.stream, epoch=str(self.epoch))
        if is_owner:
            self._enter_epoch()
            self.activate(now)
        else:
            self.deactivate()

    def _enter_epoch(self) -> None:
        if self._active_epoch not in (NO_EPOCH, self.epoch):
            self.reset()
        self._active_epoch = self.epoch

    def _leave_epoch(self) -> None:
        if self._active_epoch != NO_EPOCH:
            self._active_epoch = NO_EPOCH
            self._proposals.clear()
            self.reset()

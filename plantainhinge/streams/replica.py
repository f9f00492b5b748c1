"""One process's copy of a stream: replay, and proposals that are read back.

The copy does no I/O. ``next_command`` says what to ask the log; the caller asks
it and hands the result to one of the ``on_`` methods. One command is out at a
time, and one batch is undecided at a time.
"""

from collections.abc import Sequence as SequenceOf
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

from ..core.errors import UnknownVersionError
from ..core.ids import Epoch, Offset, Seconds, Sequence, StreamName, WriterId
from ..core.messages import Entry, Page
from ..core.records import (
    RECORD_VERSION,
    AnyRecord,
    Batch,
    SnapshotTaken,
    decode_batch,
    encode_batch,
)

BATCH_RECORDS = 256
FIRST_OFFSET = Offset(0)


class Reducer(Protocol):
    """The state that a stream's records build up."""

    def apply(
        self, record: AnyRecord, *, epoch: Epoch, offset: Offset, now: Seconds
    ) -> str | None:
        """Apply a record; return why it is rejected, or None."""

    def dump(self) -> bytes:
        """Return the whole state for a snapshot."""

    def restore(self, state: bytes) -> None:
        """Replace the state by that of a snapshot."""


R = TypeVar("R", bound=Reducer)


@dataclass(frozen=True)
class Append:
    """Ask the log to append ``data`` to ``stream``."""

    stream: StreamName
    data: bytes


@dataclass(frozen=True)
class Read:
    """Ask the log for entries of ``stream`` from ``start`` on."""

    stream: StreamName
    start: Offset


@dataclass
class Proposal:
    """A record on its way into the log.

    Parameters
    ----------
    rejection : str or None
        Why replay rejected it; meaningful once ``decided``.
    """

    record: AnyRecord
    decided: bool = False
    rejection: str | None = None


@dataclass
class _Outstanding:
    batch: Batch
    proposals: list[Proposal]
    sent_at: Seconds | None = None
    must_send: bool = True


@dataclass
class Replica(Generic[R]):
    """A stream's replayed state with the proposals of one writer.

    Parameters
    ----------
    confirmed_at : Seconds or None
        When the newest own batch that was read back had been sent.
    caught_up : bool
        Whether the last read reached the end of the stream.
    behind_snapshot : bool
        Whether the beginning was trimmed and no snapshot was met yet.
    """

    stream: StreamName
    writer: WriterId
    reducer: R
    next_offset: Offset = FIRST_OFFSET
    read_period: Seconds = Seconds(0.5)
    confirmed_at: Seconds | None = None
    caught_up: bool = False
    caught_up_at: Seconds | None = None
    behind_snapshot: bool = False
    _sequence: int = 0
    _queue: list[Proposal] = field(default_factory=list)
    _outstanding: _Outstanding | None = None
    _seen: dict[WriterId, Sequence] = field(default_factory=dict)
    append_period: Seconds = Seconds(0.1)
    _append_due: Seconds = Seconds(0.0)
    _command_out: bool = False
    _command_sent_at: Seconds = Seconds(0.0)
    _not_before: Seconds = Seconds(0.0)
    _read_due: Seconds = Seconds(0.0)

    def propose(self, record: AnyRecord) -> Proposal:
        """Queue a record; it counts only once replay has accepted it."""
        proposal = Proposal(record)
        self._queue.append(proposal)
        return proposal

    def has_undecided(self) -> bool:
        """Return whether any proposal waits for its verdict."""
        return bool(self._queue) or self._outstanding is not None

    def next_command(self, now: Seconds, epoch: Epoch) -> Append | Read | None:
        """Return what to ask the log now, if anything."""
        if self._command_out or now < self._not_before:
            return None
        command = self._next_append(now, epoch) or self._next_read(now)
        if command is not None:
            self._command_out = True
            self._command_sent_at = now
        return command

    def on_appended(self) -> None:
        """Note that the log took the batch; it is read back next."""
        self._command_out = False
        self._read_due = Seconds(0.0)

    def on_refused(self, retry_at: Seconds) -> None:
        """Note that the command had no effect; try again at ``retry_at``."""
        self._command_out = False
        self._not_before = retry_at

    def on_append_refused(self, retry_at: Seconds) -> None:
        """Note that the append surely had no effect; send it again."""
        self.on_refused(retry_at)
        if self._outstanding is not None:
            self._outstanding.must_send = True

    def on_append_uncertain(self, retry_at: Seconds) -> None:
        """Note that the answer was lost: look in the stream before sending again."""
        self.on_refused(retry_at)
        self._read_due = Seconds(0.0)

    def on_trimmed(self, first: Offset) -> None:
        """Note that entries were lost to retention: wait for a snapshot."""
        self._command_out = False
        self.next_offset = first
        self.behind_snapshot = True
        self._read_due = Seconds(0.0)

    def on_page(self, page: Page, now: Seconds) -> list[AnyRecord]:
        """Replay a page; return the records that were accepted."""
        self._command_out = False
        accepted = self._replay(page.entries, now)
        self.caught_up = self.next_offset >= page.end
        self._read_due = Seconds(now + self.read_period if self.caught_up else 0.0)
        if self.caught_up:
            self.caught_up_at = self._command_sent_at
            self._resend_if_absent()
        return accepted

    def _next_append(self, now: Seconds, epoch: Epoch) -> Append | None:
        may_take = self._outstanding is None and self.caught_up
        if may_take and self._queue and now >= self._append_due:
            self._append_due = Seconds(now + self.append_period)
            self._outstanding = self._take_batch(epoch)
        outstanding = self._outstanding
        if outstanding is None or not outstanding.must_send:
            return None
        outstanding.must_send = False
        if outstanding.sent_at is None:
            outstanding.sent_at = now
        return Append(self.stream, encode_batch(outstanding.batch))

    def _next_read(self, now: Seconds) -> Read | None:
        if now < self._read_due:
            return None
        return Read(self.stream, self.next_offset)

    def _take_batch(self, epoch: Epoch) -> _Outstanding:
        proposals = self._queue[:BATCH_RECORDS]
        del self._queue[:BATCH_RECORDS]
        self._sequence += 1
        batch = Batch(
            RECORD_VERSION,
            self.writer,
            Sequence(self._sequence),
            epoch,
            [proposal.record for proposal in proposals],
        )
        return _Outstanding(batch, proposals)

    def _resend_if_absent(self) -> None:
        if self._outstanding is not None:
            self._outstanding.must_send = True

    def _replay(self, entries: SequenceOf[Entry], now: Seconds) -> list[AnyRecord]:
        accepted: list[AnyRecord] = []
        for entry in entries:
            if entry.offset < self.next_offset:
                continue
            self.next_offset = Offset(entry.offset + 1)
            accepted.extend(self._replay_entry(entry, now))
        return accepted

    def _replay_entry(self, entry: Entry, now: Seconds) -> list[AnyRecord]:
        batch = decode_entry(entry)
        if batch is None or self._is_duplicate(batch):
            return []
        accepted = []
        rejections = []
        for record in batch.records:
            rejection = self._apply(record, batch.epoch, entry.offset, now)
            rejections.append(rejection)
            if rejection is None:
                accepted.append(record)
        self._decide(batch, rejections)
        return accepted

    def _apply(
        self, record: AnyRecord, epoch: Epoch, offset: Offset, now: Seconds
    ) -> str | None:
        if isinstance(record, SnapshotTaken):
            if self.behind_snapshot:
                self.reducer.restore(record.state)
                self.behind_snapshot = False
            return None
        if self.behind_snapshot:
            return "the beginning of the stream was trimmed"
        return self.reducer.apply(record, epoch=epoch, offset=offset, now=now)

    def _is_duplicate(self, batch: Batch) -> bool:
        if batch.sequence <= self._seen.get(batch.writer, 0):
            return True
        self._seen[batch.writer] = batch.sequence
        return False

    def _decide(self, batch: Batch, rejections: SequenceOf[str | None]) -> None:
        outstanding = self._outstanding
        if outstanding is None or batch.writer != self.writer:
            return
        if batch.sequence != outstanding.batch.sequence:
            return
        for proposal, rejection in zip(outstanding.proposals, rejections, strict=True):
            proposal.decided = True
            proposal.rejection = rejection
        self.confirmed_at = outstanding.sent_at
        self._outstanding = None


def decode_entry(entry: Entry) -> Batch | None:
    """Return the batch of an entry; None if no release can read it.

    A newer version is raised, because skipping it would diverge from writers
    that understand it. Bytes that are no batch are skipped by every reader alike.
    """
    try:
        return decode_batch(entry.data)
    except UnknownVersionError as error:
        if "newer" in error.message:
            raise
        return None

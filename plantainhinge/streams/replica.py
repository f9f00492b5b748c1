"""One process's replica of a stream: replays it and proposes records to it.

A proposal is decided only when the replica reads it back from the stream. The
replica does no I/O: ``next_command`` returns the next call to the log, and the
caller makes it and passes the result to one of the ``on_`` methods. At most one
command is in flight and at most one batch is undecided at a time.
"""

from collections.abc import Sequence as SequenceOf
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

from ..core.errors import CorruptRecordError, UnknownVersionError
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
from .batches import PendingBatch, Proposal, ProposalQueue
from .names import name_snapshot_stream
from .snapshots import (
    SNAPSHOT_PERIOD_SECONDS,
    Snapshot,
    SnapshotSearch,
    is_due,
    split_snapshot,
)
from .writers import WriterTable

__all__ = ["Append", "Proposal", "Read", "Reducer", "Replica"]

FIRST_OFFSET = Offset(0)
NO_SEQUENCE = Sequence(0)
CORRUPT_READS_TO_SKIP = 3
STALE_READ_RETRY_SECONDS = 0.1
SEARCH_PERIOD_SECONDS = 5.0


class Reducer(Protocol):
    """State built by applying the records of a stream in order."""

    def apply(
        self, record: AnyRecord, *, epoch: Epoch, offset: Offset, now: Seconds
    ) -> str | None:
        """Apply a record; return the reason if it is rejected, else None.

        The result must depend on the records alone, so that all readers agree.
        """

    def dump(self) -> bytes:
        """Encode the whole state for a snapshot."""

    def restore(self, state: bytes, now: Seconds) -> None:
        """Replace the state with that of a snapshot, read at ``now``."""


R = TypeVar("R", bound=Reducer)


@dataclass(frozen=True)
class Append:
    """Command to append ``data`` to ``stream`` as one entry."""

    stream: StreamName
    data: bytes


@dataclass(frozen=True)
class Read:
    """Command to read entries of ``stream`` from offset ``start`` on."""

    stream: StreamName
    start: Offset


@dataclass
class _CorruptEntry:
    """An entry that failed its checks, and how often the same bytes were read."""

    entry: Entry
    reads: int = 1


@dataclass
class Replica(Generic[R]):
    """The replayed state of a stream, and the proposals of one writer to it.

    Parameters
    ----------
    confirmed_at : Seconds or None
        When the newest of this writer's batches that was read back was first sent.
    caught_up : bool
        Whether the last read reached every offset known to exist.
    caught_up_at : Seconds or None
        When the last read that caught up was sent.
    needs_snapshot : bool
        Whether the next entry was trimmed, so that replay can only continue from a
        snapshot.
    is_lost : bool
        Whether the last search found no snapshot that covers the trimmed entries.
    halt_error : UnknownVersionError or None
        Set when replay stops for good because a newer release wrote the next entry.
    """

    stream: StreamName
    writer: WriterId
    reducer: R
    next_offset: Offset = FIRST_OFFSET
    read_period: Seconds = Seconds(0.5)
    append_period: Seconds = Seconds(0.1)
    snapshot_period: Seconds = Seconds(SNAPSHOT_PERIOD_SECONDS)
    confirmed_at: Seconds | None = None
    caught_up: bool = False
    caught_up_at: Seconds | None = None
    needs_snapshot: bool = False
    is_lost: bool = False
    halt_error: UnknownVersionError | None = None
    _queue: ProposalQueue = field(init=False)
    _writers: WriterTable = field(default_factory=WriterTable)
    _pending: PendingBatch | None = None
    _search: SnapshotSearch | None = field(default_factory=SnapshotSearch)
    _search_due: Seconds = Seconds(0.0)
    _snapshot_parts: list[SnapshotTaken] = field(default_factory=list)
    _snapshot_taken_at: Seconds | None = None
    _snapshot_covers: Offset = FIRST_OFFSET
    _command: Append | Read | None = None
    _command_sent_at: Seconds = Seconds(0.0)
    _append_due: Seconds = Seconds(0.0)
    _read_due: Seconds = Seconds(0.0)
    _retry_at: Seconds = Seconds(0.0)
    _end_seen: int = 0
    _corrupt_entry: _CorruptEntry | None = None

    def __post_init__(self) -> None:
        self._queue = ProposalQueue(self.writer)

    def propose(self, record: AnyRecord, *, urgent: bool = False) -> Proposal:
        """Queue a record; it takes effect only if replay accepts it."""
        return self._queue.add(record, urgent=urgent)

    def has_undecided(self) -> bool:
        """Return whether the outcome of any proposal is still open."""
        return bool(self._queue.waiting) or self._pending is not None

    def has_urgent(self) -> bool:
        """Return whether any queued proposal must not wait for the commit timer."""
        return self._queue.has_urgent()

    def request_read(self) -> None:
        """Read as soon as possible; called when a peer reports newer entries."""
        self._read_due = Seconds(0.0)

    def capture(self) -> Snapshot:
        """Return a snapshot of the state replayed so far."""
        writers = list(self._writers.newest.items())
        return Snapshot(self.next_offset, writers, self.reducer.dump())

    def adopt(self, snapshot: Snapshot, now: Seconds) -> bool:
        """Restore a state reached by another replica, unless this one is as new.

        Returns whether it was restored.
        """
        if snapshot.covers <= self.next_offset or self.halt_error is not None:
            return False
        self._restore(snapshot, now)
        return True

    def take_snapshot(self, now: Seconds) -> None:
        """Queue the parts of a snapshot if one is due."""
        if not self.caught_up or self._snapshot_parts:
            return
        if self._snapshot_taken_at is None:
            self._snapshot_taken_at = now
        due = is_due(
            taken_at=self._snapshot_taken_at,
            now=now,
            covers=self._snapshot_covers,
            next_offset=self.next_offset,
            period=self.snapshot_period,
        )
        if due:
            self._snapshot_taken_at = now
            self._snapshot_covers = self.next_offset
            self._snapshot_parts = split_snapshot(self.capture())

    def next_command(
        self, now: Seconds, epoch: Epoch, *, may_append: bool = True
    ) -> Append | Read | None:
        """Return the next call to make to the log, if any.

        Parameters
        ----------
        may_append : bool
            Whether the daemon's log budget allows an append.
        """
        if self._command or self.halt_error or now < self._retry_at:
            return None
        append = self._next_append(now, epoch) if may_append else None
        self._command = append or self._next_read(now)
        if self._command is not None:
            self._command_sent_at = now
        return self._command

    def on_appended(self, offset: Offset | None = None) -> None:
        """Handle a successful append; a batch is read back next."""
        command, self._command = self._command, None
        if _is_for(command, self.stream):
            self._end_seen = max(self._end_seen, 0 if offset is None else offset + 1)
            self._read_due = Seconds(0.0)
        elif self._snapshot_parts:
            del self._snapshot_parts[0]

    def on_refused(self, retry_at: Seconds) -> None:
        """Handle a command that had no effect; retry at ``retry_at``."""
        self._command = None
        self._retry_at = retry_at

    def on_append_refused(self, retry_at: Seconds) -> None:
        """Handle an append that certainly had no effect; send it again."""
        for_batch = _is_for(self._command, self.stream)
        self.on_refused(retry_at)
        if for_batch and self._pending is not None:
            self._pending.must_send = True

    def on_append_too_large(self) -> None:
        """Split a batch, or drop a snapshot, that is too large for the log."""
        command, self._command = self._command, None
        if not _is_for(command, self.stream):
            self._snapshot_parts = []
        elif self._pending is not None:
            self._pending = self._queue.split(self._pending)

    def on_append_uncertain(self, retry_at: Seconds) -> None:
        """Handle a lost answer: read the stream before sending the batch again."""
        self.on_refused(retry_at)
        self._read_due = Seconds(0.0)

    def on_trimmed(self, first: Offset) -> None:
        """Handle a read of trimmed entries: search for a snapshot that covers them."""
        command, self._command = self._command, None
        if self._search is not None and not _is_for(command, self.stream):
            self._search.skip_to(first)
            return
        self.caught_up = False
        self.needs_snapshot = True
        self._end_seen = max(self._end_seen, first)
        self._search = SnapshotSearch()

    def on_page(self, page: Page, now: Seconds) -> list[AnyRecord]:
        """Replay a page; return the records that were accepted."""
        command, self._command = self._command, None
        if self._search is not None and not _is_for(command, self.stream):
            self._search.handle_page(page)
            self._finish_search(now)
            return []
        before = self.next_offset
        accepted = self._replay(page.entries, now)
        self._end_seen = max(self._end_seen, page.end)
        self.caught_up = self.next_offset >= self._end_seen
        self._read_due = self._plan_read(now, moved=self.next_offset > before)
        if self.caught_up:
            self.caught_up_at = self._command_sent_at
            self._resend_pending()
        return accepted

    def _next_append(self, now: Seconds, epoch: Epoch) -> Append | None:
        if self.needs_snapshot:
            return None
        if self._can_take_batch(now):
            self._append_due = Seconds(now + self.append_period)
            self._pending = self._queue.take_batch(epoch)
        pending = self._pending
        if pending is not None and pending.is_due(now):
            pending.must_send = False
            pending.retry_at = Seconds(now + self.append_period)
            if pending.sent_at is None:
                pending.sent_at = now
            return Append(self.stream, encode_batch(pending.batch))
        return self._next_part(epoch)

    def _next_part(self, epoch: Epoch) -> Append | None:
        if not self._snapshot_parts or self._pending is not None:
            return None
        records: list[AnyRecord] = [self._snapshot_parts[0]]
        batch = Batch(RECORD_VERSION, self.writer, NO_SEQUENCE, epoch, records)
        return Append(name_snapshot_stream(self.stream), encode_batch(batch))

    def _can_take_batch(self, now: Seconds) -> bool:
        if self._pending is not None or not self.caught_up:
            return False
        is_time = now >= self._append_due or self._queue.has_urgent()
        return bool(self._queue.waiting) and is_time

    def _next_read(self, now: Seconds) -> Read | None:
        if self._search is not None:
            return Read(name_snapshot_stream(self.stream), self._search.next_offset)
        if self.needs_snapshot:
            if now < self._search_due:
                return None
            self._search = SnapshotSearch()
            return Read(name_snapshot_stream(self.stream), self._search.next_offset)
        return None if now < self._read_due else Read(self.stream, self.next_offset)

    def _plan_read(self, now: Seconds, *, moved: bool) -> Seconds:
        if self.caught_up:
            return Seconds(now + self.read_period)
        return Seconds(
            0.0 if moved or self._corrupt_entry else now + STALE_READ_RETRY_SECONDS
        )

    def _finish_search(self, now: Seconds) -> None:
        search = self._search
        if search is None or not search.is_over:
            return
        self._search = None
        self._search_due = Seconds(now + SEARCH_PERIOD_SECONDS)
        if search.found is not None and search.found.covers > self.next_offset:
            self._restore(search.found, now)
        else:
            self.is_lost = self.needs_snapshot

    def _restore(self, snapshot: Snapshot, now: Seconds) -> None:
        self.reducer.restore(snapshot.state, now)
        self._writers = WriterTable(newest=dict(snapshot.writers))
        self.next_offset = snapshot.covers
        self._snapshot_covers = snapshot.covers
        self._corrupt_entry = None
        self._search = None
        self._read_due = Seconds(0.0)
        self.caught_up = False
        self.needs_snapshot = False
        self.is_lost = False
        pending = self._pending
        if pending is not None and self._writers.has_seen(
            self.writer, pending.batch.sequence
        ):
            pending.mark_unknown()
            self._pending = None

    def _resend_pending(self) -> None:
        if self._pending is not None:
            self._pending.must_send = True

    def _replay(self, entries: SequenceOf[Entry], now: Seconds) -> list[AnyRecord]:
        accepted: list[AnyRecord] = []
        for entry in entries:
            if entry.offset < self.next_offset:
                continue
            if entry.offset > self.next_offset:
                break
            try:
                batch = decode_batch(entry.data)
            except CorruptRecordError:
                if not self._should_skip(entry):
                    break
            except UnknownVersionError as error:
                self.halt_error = error
                break
            else:
                accepted.extend(self._replay_batch(batch, entry.offset, now))
            self.next_offset = Offset(entry.offset + 1)
        return accepted

    def _should_skip(self, entry: Entry) -> bool:
        """Return whether the same corrupt bytes were read often enough to skip them.

        All readers then skip the entry alike, and its writer finds its batch
        missing and sends it again. A single corrupt read must not skip an entry,
        because other readers may have read it intact.
        """
        suspect = self._corrupt_entry
        if suspect is None or suspect.entry != entry:
            self._corrupt_entry = _CorruptEntry(entry)
            return False
        suspect.reads += 1
        if suspect.reads < CORRUPT_READS_TO_SKIP:
            return False
        self._corrupt_entry = None
        return True

    def _replay_batch(
        self, batch: Batch, offset: Offset, now: Seconds
    ) -> list[AnyRecord]:
        self._corrupt_entry = None
        if not self._writers.record(batch.writer, batch.sequence):
            return []
        rejections = [
            self.reducer.apply(record, epoch=batch.epoch, offset=offset, now=now)
            for record in batch.records
        ]
        self._resolve_pending(batch, rejections)
        return [
            record
            for record, rejection in zip(batch.records, rejections, strict=True)
            if rejection is None
        ]

    def _resolve_pending(
        self, batch: Batch, rejections: SequenceOf[str | None]
    ) -> None:
        pending = self._pending
        if pending is None or batch.writer != self.writer:
            return
        if batch.sequence == pending.batch.sequence:
            pending.decide(rejections)
            self.confirmed_at = pending.sent_at
            self._pending = None


def _is_for(command: Append | Read | None, stream: StreamName) -> bool:
    """Return whether a command, if any, is for the stream, not for its snapshots."""
    return command is None or command.stream == stream

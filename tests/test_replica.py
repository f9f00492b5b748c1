"""The replica of a stream: reading back, lost answers, duplicates, corruption."""

import pytest

from plantainhinge.adapters.log_memory import MemoryLog
from plantainhinge.core.errors import TooLargeError, TrimmedError
from plantainhinge.core.ids import Epoch, Offset, Seconds, StreamName, WriterId
from plantainhinge.core.messages import Entry, Page
from plantainhinge.core.records import (
    RECORD_VERSION,
    Batch,
    TaskCancelled,
    decode_batch,
    encode_batch,
    frame_entry,
)
from plantainhinge.streams.batches import BATCH_BYTES_MAX, RECORD_BYTES_MAX
from plantainhinge.streams.replica import Append, Replica

STREAM = StreamName("ledger.0")
NO_EPOCH = Epoch(0)


class Recorder:
    """A reducer that keeps the tasks of all records, in order."""

    def __init__(self):
        self.tasks = []

    def apply(self, record, *, epoch, offset, now):
        self.tasks.append(record.task)

    def dump(self):
        return b""

    def restore(self, state, now):
        pass


def advance(replica, log, now, *, lose_answers=0):
    """Run commands until there are none; lose the first ``lose_answers`` answers."""
    while command := replica.next_command(Seconds(now), NO_EPOCH):
        if not isinstance(command, Append):
            read(replica, log, command, now)
            continue
        try:
            log.append(command.stream, command.data)
        except TooLargeError:
            replica.on_append_too_large()
            continue
        if lose_answers:
            lose_answers -= 1
            replica.on_append_uncertain(Seconds(now))
        else:
            replica.on_appended()


def read(replica, log, command, now):
    try:
        page = log.read(command.stream, command.start, 100_000)
    except TrimmedError as error:
        replica.on_trimmed(Offset(error.first))
    else:
        replica.on_page(page, Seconds(now))


def make_replica(name="a"):
    return Replica(STREAM, WriterId(name), Recorder())


def test_proposal_is_decided_only_when_read_back():
    log, replica = MemoryLog(), make_replica()
    advance(replica, log, 0.0)
    proposal = replica.propose(TaskCancelled("t"))
    command = replica.next_command(Seconds(1.0), NO_EPOCH)
    log.append(command.stream, command.data)
    replica.on_appended()
    assert not proposal.decided
    advance(replica, log, 1.0)
    assert proposal.decided


def test_stream_is_read_before_an_unanswered_append_is_sent_again():
    log, replica = MemoryLog(), make_replica()
    advance(replica, log, 0.0)
    proposal = replica.propose(TaskCancelled("t"))
    advance(replica, log, 1.0, lose_answers=1)
    assert proposal.decided
    assert replica.reducer.tasks == ["t"]
    assert log.read(STREAM, Offset(0), 100_000).end == 1


def test_duplicate_entry_is_applied_once():
    log, replica = MemoryLog(), make_replica()
    advance(replica, log, 0.0)
    replica.propose(TaskCancelled("t"))
    advance(replica, log, 1.0)
    entry = log.read(STREAM, Offset(0), 100_000).entries[0]
    log.append(STREAM, entry.data)
    reader = make_replica("b")
    advance(reader, log, 2.0)
    assert reader.reducer.tasks == ["t"]


def test_resent_batch_keeps_the_time_it_was_first_sent():
    log, replica = MemoryLog(), make_replica()
    advance(replica, log, 0.0)
    replica.propose(TaskCancelled("t"))
    replica.next_command(Seconds(1.0), NO_EPOCH)
    replica.on_append_uncertain(Seconds(1.0))
    advance(replica, log, 9.0)
    assert replica.confirmed_at == 1.0


def test_stale_read_does_not_resend_an_acknowledged_batch():
    log, replica = MemoryLog(), make_replica()
    advance(replica, log, 0.0)
    replica.propose(TaskCancelled("t"))
    command = replica.next_command(Seconds(1.0), NO_EPOCH)
    replica.on_appended(log.append(command.stream, command.data))
    replica.next_command(Seconds(1.0), NO_EPOCH)
    replica.on_page(Page(entries=[], first=Offset(0), end=Offset(0)), Seconds(1.0))
    assert not replica.caught_up
    assert replica.next_command(Seconds(1.0), NO_EPOCH) is None
    advance(replica, log, 2.0)
    assert log.read(STREAM, Offset(0), 100_000).end == 1


@pytest.mark.parametrize(
    ("corrupt", "reads"),
    [
        (lambda data: b"", 3),
        (lambda data: data[:3], 3),
        (lambda data: data[:-1], 3),
        (lambda data: data + b"x", 3),
        (lambda data: data[:-1] + bytes([data[-1] ^ 1]), 3),
        (lambda data: frame_entry(b"\xc0"), 3),
    ],
    ids=["empty", "short", "truncated", "longer", "flipped", "no batch"],
)
def test_corrupt_entry_is_skipped_after_repeated_identical_reads(corrupt, reads):
    log, replica = MemoryLog(), make_replica()
    advance(replica, log, 0.0)
    replica.propose(TaskCancelled("t"))
    command = replica.next_command(Seconds(1.0), NO_EPOCH)
    replica.on_appended(log.append(command.stream, corrupt(command.data)))
    for _ in range(reads):
        assert replica.next_offset == 0
        command = replica.next_command(Seconds(1.0), NO_EPOCH)
        page = log.read(command.stream, command.start, 100_000)
        replica.on_page(page, Seconds(1.0))
    assert replica.next_offset == 1
    advance(replica, log, 2.0)
    assert replica.reducer.tasks == ["t"]


def test_single_corrupt_read_skips_nothing():
    log, replica = MemoryLog(), make_replica()
    writer = make_replica("b")
    advance(writer, log, 0.0)
    writer.propose(TaskCancelled("t"))
    advance(writer, log, 1.0)
    advance(replica, MemoryLog(), 0.0)
    page = log.read(STREAM, Offset(0), 100_000)
    bad = [Entry(offset=Offset(0), data=page.entries[0].data[:-1])]
    replica.next_command(Seconds(1.0), NO_EPOCH)
    replica.on_page(Page(entries=bad, first=page.first, end=page.end), Seconds(1.0))
    advance(replica, log, 2.0)
    assert replica.reducer.tasks == ["t"]


def test_newer_record_version_halts_the_replica_with_a_reason():
    log, replica = MemoryLog(), make_replica()
    newer = Batch(RECORD_VERSION + 1, WriterId("n"), 1, NO_EPOCH, [])
    log.append(STREAM, encode_batch(newer))
    advance(replica, log, 0.0)
    assert f"version {RECORD_VERSION + 1}" in replica.halt_error.message
    assert replica.next_offset == 0
    assert not replica.caught_up
    assert replica.next_command(Seconds(99.0), NO_EPOCH) is None


def test_batch_size_is_limited_in_bytes():
    log, replica = MemoryLog(), make_replica()
    advance(replica, log, 0.0)
    for number in range(5):
        replica.propose(TaskCancelled(f"{number}" * (BATCH_BYTES_MAX // 2)))
    for now in range(1, 6):
        advance(replica, log, float(now))
    entries = log.read(STREAM, Offset(0), 2**30).entries
    assert len(replica.reducer.tasks) == 5
    assert len(entries) > 1
    assert all(len(entry.data) < BATCH_BYTES_MAX + 100 for entry in entries)


def test_batch_too_large_for_the_log_is_split_and_a_single_record_rejected():
    log, replica = MemoryLog(entry_bytes_max=300), make_replica()
    advance(replica, log, 0.0)
    sizes = [100, 100, 400, 100]
    proposals = [
        replica.propose(TaskCancelled(f"{number}" * size))
        for number, size in enumerate(sizes)
    ]
    for now in range(1, 9):
        advance(replica, log, float(now))
    assert [p.rejection is None for p in proposals] == [True, True, False, True]
    assert all(p.decided for p in proposals)


def test_record_larger_than_an_entry_is_rejected_at_once():
    proposal = make_replica().propose(TaskCancelled("x" * (RECORD_BYTES_MAX + 1)))
    assert proposal.decided
    assert str(RECORD_BYTES_MAX) in proposal.rejection


def test_resent_batch_keeps_the_epoch_it_was_built_under():
    log, replica = MemoryLog(), make_replica()
    advance(replica, log, 0.0)
    replica.propose(TaskCancelled("t"))
    replica.next_command(Seconds(1.0), Epoch(1))
    replica.on_append_refused(Seconds(1.0))
    command = replica.next_command(Seconds(2.0), Epoch(2))
    assert decode_batch(command.data).epoch == 1

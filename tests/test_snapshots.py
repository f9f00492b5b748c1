"""Snapshots: when they are due, their parts, the search, and trimmed streams."""

import pytest

from plantainhinge.adapters.log_memory import MemoryLog
from plantainhinge.core.ids import Epoch, Offset, Seconds, StreamName, WriterId
from plantainhinge.core.records import TaskCancelled
from plantainhinge.streams.names import name_snapshot_stream
from plantainhinge.streams.replica import Append, Replica
from plantainhinge.streams.snapshots import (
    PART_BYTES,
    SNAPSHOT_ENTRIES,
    Snapshot,
    is_due,
    split_snapshot,
)

from .test_replica import advance

STREAM = StreamName("ledger.0")
SNAPSHOTS = name_snapshot_stream(STREAM)
NO_EPOCH = Epoch(0)


class Ledger:
    """A reducer that keeps all tasks, and when it was last restored."""

    def __init__(self):
        self.tasks = []
        self.restored_at = None

    def apply(self, record, *, epoch, offset, now):
        self.tasks.append(record.task)

    def dump(self):
        return "|".join(self.tasks).encode()

    def restore(self, state, now):
        self.tasks = state.decode().split("|")
        self.restored_at = now


def make_replica(name):
    return Replica(STREAM, WriterId(name), Ledger(), snapshot_period=Seconds(60.0))


def write(replica, log, tasks, now):
    advance(replica, log, now)
    for task in tasks:
        replica.propose(TaskCancelled(task))
    advance(replica, log, now + 1.0)
    advance(replica, log, now + 1.5)


def snapshot(replica, log, now):
    replica.take_snapshot(Seconds(now))
    replica.take_snapshot(Seconds(now + 60.0))
    advance(replica, log, now + 60.0)


def collect_reads(replica, log, now):
    """Catch up; return the stream and offset of each read."""
    reads = []
    while command := replica.next_command(Seconds(now), NO_EPOCH):
        reads.append((command.stream, command.start))
        page = log.read(command.stream, command.start, 100_000)
        replica.on_page(page, Seconds(now))
    return reads


@pytest.mark.parametrize(
    ("now", "covers", "end", "due"),
    [
        (100.0, 0, 0, False),
        (159.9, 5, 9, False),
        (160.0, 5, 9, True),
        (160.0, 9, 9, True),
        (100.0, 5, 5 + SNAPSHOT_ENTRIES - 1, False),
        (100.0, 5, 5 + SNAPSHOT_ENTRIES, True),
    ],
)
def test_snapshot_is_due_by_time_or_by_entries(now, covers, end, due):
    assert due == is_due(
        taken_at=Seconds(100.0),
        now=Seconds(now),
        covers=Offset(covers),
        next_offset=Offset(end),
        period=Seconds(60.0),
    )


def test_reader_restores_the_newest_snapshot_and_replays_only_the_rest():
    log, writer = MemoryLog(), make_replica("a")
    write(writer, log, ["1", "2"], 0.0)
    snapshot(writer, log, 10.0)
    write(writer, log, ["3"], 80.0)
    log.trim(STREAM, Offset(1))
    reader = make_replica("b")
    reads = collect_reads(reader, log, 100.0)
    assert reader.reducer.tasks == ["1", "2", "3"]
    assert reader.reducer.restored_at == 100.0
    assert [start for stream, start in reads if stream == STREAM] == [1]
    assert len(reads) == 3


def test_records_appended_between_capture_and_snapshot_are_not_lost():
    log, writer, other = MemoryLog(), make_replica("a"), make_replica("b")
    write(writer, log, ["1"], 0.0)
    writer.take_snapshot(Seconds(10.0))
    writer.take_snapshot(Seconds(70.0))
    write(other, log, ["2"], 70.0)
    advance(writer, log, 80.0)
    reader = make_replica("c")
    advance(reader, log, 90.0)
    assert reader.reducer.tasks == ["1", "2"]


def test_large_snapshot_is_split_and_used_only_when_complete():
    log, writer = MemoryLog(), make_replica("a")
    write(writer, log, ["x" * PART_BYTES, "y" * PART_BYTES], 0.0)
    snapshot(writer, log, 10.0)
    assert log.read(SNAPSHOTS, Offset(0), 2**30).end == 3
    write(writer, log, ["z"], 80.0)
    writer.take_snapshot(Seconds(200.0))
    command = writer.next_command(Seconds(200.0), NO_EPOCH)
    assert isinstance(command, Append)
    log.append(command.stream, command.data)
    reader = make_replica("b")
    reads = collect_reads(reader, log, 210.0)
    assert (STREAM, 2) in reads
    assert [task[0] for task in reader.reducer.tasks] == ["x", "y", "z"]


def test_snapshot_before_many_incomplete_ones_is_found():
    log, writer = MemoryLog(), make_replica("a")
    write(writer, log, ["x" * PART_BYTES], 0.0)
    snapshot(writer, log, 10.0)
    half = log.read(SNAPSHOTS, Offset(0), 1).entries[0].data
    for _ in range(50):
        log.append(SNAPSHOTS, half)
    log.trim(STREAM, Offset(1))
    reader = make_replica("b")
    advance(reader, log, 200.0)
    assert reader.reducer.tasks == ["x" * PART_BYTES]


def test_duplicate_of_an_entry_before_the_snapshot_is_applied_once():
    log, writer = MemoryLog(), make_replica("a")
    write(writer, log, ["1"], 0.0)
    old = log.read(STREAM, Offset(0), 100).entries[0].data
    snapshot(writer, log, 10.0)
    log.append(STREAM, old)
    reader = make_replica("b")
    advance(reader, log, 200.0)
    assert reader.reducer.tasks == ["1"]


def test_reader_of_trimmed_entries_continues_from_a_snapshot():
    log, writer, follower = MemoryLog(), make_replica("a"), make_replica("b")
    write(writer, log, ["1"], 0.0)
    advance(follower, log, 2.0)
    write(writer, log, ["2"], 3.0)
    write(writer, log, ["3"], 5.0)
    snapshot(writer, log, 10.0)
    log.trim(STREAM, Offset(3))
    proposal = follower.propose(TaskCancelled("4"))
    advance(follower, log, 200.0)
    advance(follower, log, 201.0)
    assert follower.reducer.tasks == ["1", "2", "3", "4"]
    assert proposal.rejection is None


def test_proposal_whose_entry_was_trimmed_has_unknown_outcome():
    log, writer, other = MemoryLog(), make_replica("a"), make_replica("b")
    advance(writer, log, 0.0)
    proposal = writer.propose(TaskCancelled("1"))
    command = writer.next_command(Seconds(1.0), NO_EPOCH)
    log.append(command.stream, command.data)
    writer.on_append_uncertain(Seconds(1.0))
    advance(other, log, 2.0)
    snapshot(other, log, 3.0)
    log.trim(STREAM, Offset(1))
    advance(writer, log, 100.0)
    assert proposal.decided
    assert proposal.is_unknown
    assert writer.reducer.tasks == ["1"]


def test_stream_trimmed_without_a_snapshot_is_reported_lost():
    log, writer, reader = MemoryLog(), make_replica("a"), make_replica("b")
    write(writer, log, ["1"], 0.0)
    write(writer, log, ["2"], 2.0)
    log.trim(STREAM, Offset(1))
    advance(reader, log, 10.0)
    assert reader.is_lost
    assert not reader.caught_up
    assert reader.reducer.tasks == []
    survivor = writer.capture()
    assert reader.adopt(survivor, Seconds(11.0))
    advance(reader, log, 12.0)
    assert not reader.is_lost
    assert reader.reducer.tasks == ["1", "2"]


def test_replica_never_adopts_an_older_state():
    log, writer = MemoryLog(), make_replica("a")
    write(writer, log, ["1"], 0.0)
    old = writer.capture()
    write(writer, log, ["2"], 2.0)
    assert not writer.adopt(old, Seconds(4.0))
    assert writer.reducer.tasks == ["1", "2"]


def test_snapshot_parts_fit_into_an_entry():
    parts = split_snapshot(Snapshot(Offset(1), [], b"x" * (5 * PART_BYTES)))
    assert len(parts) == 6
    assert max(len(part.state) for part in parts) == PART_BYTES

"""The copy of a stream: read-back, lost answers and duplicates."""

from plantainhinge.adapters.log_memory import MemoryLog
from plantainhinge.core.ids import Epoch, Offset, Seconds, StreamName, WriterId
from plantainhinge.core.records import TaskCancelled
from plantainhinge.streams.replica import Append, Replica

STREAM = StreamName("ledger.0")
NO_EPOCH = Epoch(0)


class Recorder:
    """A reducer that keeps what it was given."""

    def __init__(self):
        self.tasks = []

    def apply(self, record, *, epoch, offset, now):
        self.tasks.append(record.task)

    def dump(self):
        return b""

    def restore(self, state, now):
        pass


def advance(replica, log, now, *, lose_answers=0):
    """Run commands until the replica has none; lose the first append answers."""
    while command := replica.next_command(Seconds(now), NO_EPOCH):
        if not isinstance(command, Append):
            page = log.read(command.stream, command.start, 100_000)
            replica.on_page(page, Seconds(now))
            continue
        log.append(command.stream, command.data)
        if lose_answers:
            lose_answers -= 1
            replica.on_append_uncertain(Seconds(now))
        else:
            replica.on_appended()


def make_replica(name="a"):
    return Replica(STREAM, WriterId(name), Recorder())


def test_a_proposal_is_decided_only_when_read_back():
    log, replica = MemoryLog(), make_replica()
    advance(replica, log, 0.0)
    proposal = replica.propose(TaskCancelled("t"))
    command = replica.next_command(Seconds(1.0), NO_EPOCH)
    log.append(command.stream, command.data)
    replica.on_appended()
    assert not proposal.decided
    advance(replica, log, 1.0)
    assert proposal.decided


def test_a_lost_answer_is_looked_for_before_it_is_sent_again():
    log, replica = MemoryLog(), make_replica()
    advance(replica, log, 0.0)
    proposal = replica.propose(TaskCancelled("t"))
    advance(replica, log, 1.0, lose_answers=1)
    assert proposal.decided
    assert replica.reducer.tasks == ["t"]
    assert log.read(STREAM, Offset(0), 100_000).end == 1


def test_a_duplicated_entry_counts_once():
    log, replica = MemoryLog(), make_replica()
    advance(replica, log, 0.0)
    replica.propose(TaskCancelled("t"))
    advance(replica, log, 1.0)
    entry = log.read(STREAM, Offset(0), 100_000).entries[0]
    log.append(STREAM, entry.data)
    reader = make_replica("b")
    advance(reader, log, 2.0)
    assert reader.reducer.tasks == ["t"]


def test_a_resent_batch_keeps_the_time_it_was_first_sent():
    log, replica = MemoryLog(), make_replica()
    advance(replica, log, 0.0)
    replica.propose(TaskCancelled("t"))
    replica.next_command(Seconds(1.0), NO_EPOCH)
    replica.on_append_uncertain(Seconds(1.0))
    advance(replica, log, 9.0)
    assert replica.confirmed_at == 1.0

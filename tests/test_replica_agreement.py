"""Replicas of a stream agree whatever happens to their calls to the log.

A state machine lets writers propose records, loses calls and answers, stores
appends late or twice, returns stale pages, corrupts entries in the log and in
transit, trims entries covered by a snapshot, and restarts readers. At the end
every replica reads the whole stream and must have the state that a new reader
builds from the log.
"""

import msgspec
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from plantainhinge.adapters.log_memory import MemoryLog
from plantainhinge.core.errors import TrimmedError
from plantainhinge.core.ids import Epoch, Offset, Seconds, StreamName, WriterId
from plantainhinge.core.messages import Page
from plantainhinge.core.records import TaskCancelled
from plantainhinge.streams.replica import Append, Replica

STREAM = StreamName("ledger.0")
NO_EPOCH = Epoch(0)
WRITERS = 3
PAGE_BYTES = 400
writers = st.integers(0, WRITERS - 1)
FATES = ["kept", "refused", "call-lost", "answer-lost", "late", "corrupt", "doubled"]
READS = ["whole", "behind", "garbled", "lost"]


class Ledger:
    """A reducer that accepts each task once and keeps all tasks in order."""

    def __init__(self):
        self.applied = []

    def apply(self, record, *, epoch, offset, now):
        first = record.task not in self.applied
        self.applied.append(record.task)
        return None if first else "known"

    def dump(self):
        return msgspec.json.encode(self.applied)

    def restore(self, state, now):
        self.applied = msgspec.json.decode(state)


class Agreement(RuleBasedStateMachine):
    @initialize()
    def begin(self):
        self.log = MemoryLog()
        self.now = 0.0
        self.writer_count = 0
        self.garbled = 0
        self.replicas = [self.make_replica() for _ in range(WRITERS)]
        self.proposals = []
        self.delayed_appends = []

    def make_replica(self):
        self.writer_count += 1
        replica = Replica(STREAM, WriterId(f"w{self.writer_count}"), Ledger())
        replica.snapshot_period = Seconds(3.0)
        return replica

    @rule(writer=writers, task=st.integers(0, 9))
    def propose(self, writer, task):
        record = TaskCancelled(f"{task}")
        replica = self.replicas[writer]
        self.proposals.append((replica.writer, replica.propose(record)))

    @rule(writer=writers, fate=st.sampled_from(FATES), read=st.sampled_from(READS))
    def step(self, writer, fate, read):
        self.now += 0.7
        replica = self.replicas[writer]
        replica.take_snapshot(Seconds(self.now))
        command = replica.next_command(Seconds(self.now), NO_EPOCH)
        if isinstance(command, Append):
            self.append(replica, command, fate)
        elif command is not None:
            self.read(replica, command, read)

    @rule()
    def append_delayed(self):
        if self.delayed_appends:
            self.log.append(*self.delayed_appends.pop())

    @rule(writer=writers)
    def restart(self, writer):
        self.replicas[writer] = self.make_replica()

    @rule()
    def trim(self):
        """Trim the entries covered by a snapshot that is complete in the log."""
        reader = self.make_replica()
        self.drain(reader)
        self.log.trim(STREAM, reader._snapshot_covers)

    @invariant()
    def outcomes_never_change(self):
        for _, proposal in self.proposals:
            if proposal.decided:
                seen = (proposal.rejection, proposal.is_unknown)
                assert getattr(proposal, "seen", seen) == seen
                proposal.seen = seen

    def teardown(self):
        while self.delayed_appends:
            self.log.append(*self.delayed_appends.pop())
        for replica in self.replicas * 2:
            self.drain(replica)
        fresh = self.make_replica()
        self.drain(fresh)
        expected = fresh.reducer.applied
        for replica in self.replicas:
            assert replica.reducer.applied == expected
            assert not replica.has_undecided()
        self.check_outcomes(expected)

    def check_outcomes(self, applied):
        accepted = [
            proposal.record.task
            for _, proposal in self.proposals
            if proposal.decided and proposal.rejection is None
        ]
        assert len(accepted) == len(set(accepted))
        decided = [p for _, p in self.proposals if p.decided and not p.is_unknown]
        assert len(applied) >= len(decided)
        assert len(applied) <= len(self.proposals)
        for writer in {writer for writer, _ in self.proposals}:
            tasks = [p.record.task for w, p in self.proposals if w == writer]
            assert is_subsequence(
                [p.record.task for w, p in self.proposals if w == writer and p.decided],
                applied,
            ), (tasks, applied)

    def append(self, replica, command, fate):
        later = Seconds(self.now + 0.3)
        if fate == "refused":
            replica.on_append_refused(later)
            return
        if fate == "late":
            self.delayed_appends.append((command.stream, command.data))
        elif fate == "corrupt":
            self.log.append(command.stream, command.data[:-1])
        elif fate != "call-lost":
            offset = self.log.append(command.stream, command.data)
            if fate == "doubled":
                self.log.append(command.stream, command.data)
            if fate != "answer-lost":
                replica.on_appended(offset)
                return
        replica.on_append_uncertain(later)

    def read(self, replica, command, fate):
        if fate == "lost":
            replica.on_refused(Seconds(self.now + 0.3))
            return
        try:
            page = self.log.read(command.stream, command.start, PAGE_BYTES)
        except TrimmedError as error:
            replica.on_trimmed(Offset(error.first))
            return
        if fate == "behind":
            page = Page(
                entries=page.entries[:-1],
                first=page.first,
                end=Offset(max(page.first, page.end - 1)),
            )
        elif fate == "garbled":
            self.garbled += 1
            noise = self.garbled.to_bytes(2, "big")
            entries = [
                msgspec.structs.replace(entry, data=entry.data[:-2] + noise)
                for entry in page.entries
            ]
            page = Page(entries=entries, first=page.first, end=page.end)
        replica.on_page(page, Seconds(self.now))

    def drain(self, replica):
        for _ in range(400):
            self.now += 1.0
            command = replica.next_command(Seconds(self.now), NO_EPOCH)
            if isinstance(command, Append):
                self.append(replica, command, "kept")
            elif command is not None:
                self.read(replica, command, "whole")
            if replica.caught_up and not replica.has_undecided():
                page = self.log.read(STREAM, Offset(2**62), 0)
                if replica.next_offset == page.end:
                    return
        raise AssertionError(f"{replica.writer} never caught up")


def is_subsequence(short, long):
    rest = iter(long)
    return all(item in rest for item in short)


TestAgreement = Agreement.TestCase
TestAgreement.settings = settings(max_examples=150, stateful_step_count=40)

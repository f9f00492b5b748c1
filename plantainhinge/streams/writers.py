"""The newest batch of each writer, by which a repeated batch is known."""

from dataclasses import dataclass, field

from ..core.ids import Sequence, WriterId

WRITERS_MAX = 1024


@dataclass
class WriterTable:
    """Sequences by writer, bounded.

    The writer whose newest batch is the oldest in the stream is forgotten first.
    That depends on the stream alone, so every reader forgets the same ones. A
    duplicate is known as long as fewer than ``kept`` other writers came after.
    """

    capacity: int = WRITERS_MAX
    newest: dict[WriterId, Sequence] = field(default_factory=dict)

    def record(self, writer: WriterId, sequence: Sequence) -> bool:
        """Note a batch; return False if it, or a later one, was met before."""
        if self.has_seen(writer, sequence):
            return False
        self.newest.pop(writer, None)
        self.newest[writer] = sequence
        if len(self.newest) > self.capacity:
            del self.newest[next(iter(self.newest))]
        return True

    def has_seen(self, writer: WriterId, sequence: Sequence) -> bool:
        """Return whether this batch of the writer, or a later one, was met."""
        return sequence <= self.newest.get(writer, 0)

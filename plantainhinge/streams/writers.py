"""Detects duplicate batches by the newest sequence number of each writer."""

from dataclasses import dataclass, field

from ..core.ids import Sequence, WriterId

WRITERS_MAX = 1024


@dataclass
class WriterTable:
    """Newest sequence number by writer, for a bounded number of writers.

    The writer whose newest batch is the oldest in the stream is evicted first.
    This depends on the stream alone, so every reader evicts the same writers. A
    duplicate is detected as long as fewer than ``capacity`` other writers have
    written since.
    """

    capacity: int = WRITERS_MAX
    newest: dict[WriterId, Sequence] = field(default_factory=dict)

    def record(self, writer: WriterId, sequence: Sequence) -> bool:
        """Record a batch; return False if it, or a later one, was seen before."""
        if self.has_seen(writer, sequence):
            return False
        self.newest.pop(writer, None)
        self.newest[writer] = sequence
        if len(self.newest) > self.capacity:
            del self.newest[next(iter(self.newest))]
        return True

    def has_seen(self, writer: WriterId, sequence: Sequence) -> bool:
        """Return whether this batch of the writer, or a later one, was seen."""
        return sequence <= self.newest.get(writer, 0)

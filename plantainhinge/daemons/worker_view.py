"""An instance's local replica of the directory of workers."""

from collections.abc import Callable

from ..core.ids import WorkerId
from ..fleet.model import WorkerEntry
from ..fleet.protocols import Entry, KeyedLog
from .tail import Tail

Decode = Callable[[str, bytes], WorkerEntry | None]


class WorkerView:
    """The directory's entries, by worker.

    Parameters
    ----------
    decode : callable
        Decodes a worker's entry from its key and value; None if it is invalid.
    """

    def __init__(self, log: KeyedLog, topic: str, decode: Decode) -> None:
        self.entries: dict[WorkerId, WorkerEntry] = {}
        self._decode = decode
        self.tail = Tail(log, topic, self._apply, self.entries.clear)

    def _apply(self, entry: Entry) -> None:
        worker = WorkerId(entry.key)
        decoded = self._decode(entry.key, entry.value) if entry.value else None
        if decoded is None:
            self.entries.pop(worker, None)
        else:
            self.entries[worker] = decoded

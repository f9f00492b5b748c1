"""A queue of keys by due time."""

import heapq
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from .ids import Seconds

K = TypeVar("K", bound=Hashable)


@dataclass
class DueQueue(Generic[K]):
    """Heap of keys with one due time each.

    The cost of ``take`` depends on the number of keys that are due, not on the number
    of all keys. A key whose time changes leaves a stale entry in the heap, which
    ``take`` skips.
    """

    _due: dict[K, float] = field(default_factory=dict)
    _heap: list[tuple[float, int, K]] = field(default_factory=list)
    _count: int = 0

    def __len__(self) -> int:
        return len(self._due)

    def __contains__(self, key: object) -> bool:
        return key in self._due

    def set(self, key: K, at: float) -> None:
        """Schedule ``key`` for ``at``, replacing any earlier time."""
        self._due[key] = at
        self._count += 1
        heapq.heappush(self._heap, (at, self._count, key))

    def add(self, key: K, at: float) -> None:
        """Schedule ``key`` for ``at`` unless it is already scheduled."""
        if key not in self._due:
            self.set(key, at)

    def discard(self, key: K) -> None:
        """Remove ``key`` if it is scheduled."""
        self._due.pop(key, None)

    def take(self, now: Seconds, limit: int | None = None) -> list[K]:
        """Remove and return up to ``limit`` keys due by ``now``, earliest first."""
        taken: list[K] = []
        while self._heap and self._heap[0][0] <= now:
            if limit is not None and len(taken) >= limit:
                break
            at, _, key = heapq.heappop(self._heap)
            if self._due.get(key) == at:
                del self._due[key]
                taken.append(key)
        return taken

    def clear(self) -> None:
        """Remove all keys."""
        self._due.clear()
        self._heap.clear()

"""An in-memory keyed log with the semantics of the platform's log.

It checks fences and sequence numbers and recognizes repeated appends.
"""

import asyncio
from collections import defaultdict, deque

from plantainhinge.core.errors import (
    ConflictError,
    NotOwnerError,
    TooLargeError,
    TrimmedError,
    UnavailableError,
    UncertainError,
)
from plantainhinge.fleet.protocols import Group, Page

REMEMBERED_APPENDS_MAX = 5
READ_POLL_SECONDS = 0.002


class MemoryKeyedLog:
    """A keyed log in memory.

    ``append_faults`` lists the faults of the next appends: ``"refuse"`` appends nothing
    and raises ``UnavailableError``, ``"lose"`` appends and raises ``UncertainError``,
    an empty string is no fault. A member that doesn't join again within
    ``member_seconds`` is removed.
    """

    def __init__(self):
        self.topics = defaultdict(list)
        self.first_offsets = defaultdict(int)
        self.epochs = {}
        self.sequences = {}
        self.recent_appends = defaultdict(lambda: deque(maxlen=REMEMBERED_APPENDS_MAX))
        self.append_faults = []
        self.append_delay = 0.0
        self.join_delay = 0.0
        self.read_calls = 0
        self.page_size = 500
        self.read_size = 10_000
        self.record_bytes_max = 262_144
        self.append_bytes_max = 2_097_152
        self.members = {}
        self.member_seconds = float("inf")
        self.generation = 0

    async def append(self, topic, entries, *, fence=None, expected_end=None):
        if self.append_delay:
            await asyncio.sleep(self.append_delay)
        sizes = [len(entry.key) + 1 + len(entry.value) for entry in entries]
        too_large = max(sizes, default=0) > self.record_bytes_max
        if too_large or sum(sizes) > self.append_bytes_max:
            raise TooLargeError("status 413", step="log.append")
        fault = self.append_faults.pop(0) if self.append_faults else None
        if fault == "refuse":
            raise UnavailableError("refused", step="log.append")
        end = self._append(topic, list(entries), fence, expected_end)
        if fault == "lose":
            raise UncertainError("answer lost", step="log.append")
        return end

    def _append(self, topic, entries, fence, expected_end):
        records = self.topics[topic]
        if expected_end is not None and expected_end != len(records):
            raise ConflictError(f"ends at {len(records)}", step="log.append")
        if fence is not None:
            known_end = self._check_fence(topic, entries, fence)
            if known_end is not None:
                return known_end
        records.extend(entries)
        return len(records)

    def _check_fence(self, topic, entries, fence):
        """Return the end offset of a repeated append, None for a new one."""
        newest = self.epochs.get(topic, 0)
        if fence.epoch < newest:
            raise NotOwnerError(f"epoch {newest}", step="log.append")
        if fence.epoch > newest:
            self.epochs[topic] = fence.epoch
            self.sequences[topic] = fence.sequence - 1
            self.recent_appends[topic].clear()
        if not entries:
            return None
        for sequence, end in self.recent_appends[topic]:
            if sequence == fence.sequence:
                return end
        if fence.sequence != self.sequences[topic] + 1:
            raise ConflictError("sequence", step="log.append")
        self.sequences[topic] = fence.sequence
        end = len(self.topics[topic]) + len(entries)
        self.recent_appends[topic].append((fence.sequence, end))
        return None

    async def read(self, topic, *, start, wait):
        self.read_calls += 1
        if start < self.first_offsets[topic]:
            raise TrimmedError("gone", step="log.read", first=self.first_offsets[topic])
        records = self.topics[topic]
        end = asyncio.get_running_loop().time() + wait
        while len(records) <= start and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(READ_POLL_SECONDS)
        end = min(len(records), start + self.read_size)
        return Page(tuple(records[start:end]), end, complete=end == len(records))

    async def read_newest(self, topic, *, after=""):
        self.read_calls += 1
        newest = {}
        for entry in self.topics[topic]:
            newest[entry.key] = entry
        remaining = sorted(
            (entry for entry in newest.values() if entry.value and entry.key > after),
            key=lambda entry: entry.key,
        )
        page = tuple(remaining[: self.page_size])
        next_key = page[-1].key if len(remaining) > self.page_size else ""
        return Page(page, len(self.topics[topic]), complete=False, next_key=next_key)

    def trim(self, topic):
        self.first_offsets[topic] = len(self.topics[topic])

    async def join(self, member, *, generation):
        await asyncio.sleep(self.join_delay)
        self._remove_silent_members()
        if member not in self.members:
            self.generation += 1
        self.members[member] = self._read_time() + self.member_seconds
        return self.generation

    async def leave(self, member):
        self.members.pop(member, None)
        self.generation += 1

    async def list_members(self):
        self._remove_silent_members()
        return Group(frozenset(self.members), is_complete=True)

    def _remove_silent_members(self):
        now = self._read_time()
        for member in [name for name, end in self.members.items() if end < now]:
            del self.members[member]
            self.generation += 1

    def _read_time(self):
        return asyncio.get_running_loop().time()

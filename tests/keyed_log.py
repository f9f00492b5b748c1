"""An in-memory log that behaves like the platform's: fences, numbers, repeats."""

import asyncio
from collections import defaultdict, deque

from plantainhinge.core.errors import (
    ConflictError,
    NotOwnerError,
    TrimmedError,
    UnavailableError,
    UncertainError,
)
from plantainhinge.fleet.protocols import Page

REPEATS_KNOWN = 5
READ_POLL_SECONDS = 0.002


class MemoryKeyedLog:
    """Records by topic; ``fail`` names what goes wrong with the next appends.

    ``"refuse"`` does nothing and says so, ``"lose"`` appends and answers nothing.
    """

    def __init__(self):
        self.topics = defaultdict(list)
        self.first = defaultdict(int)
        self.epochs = {}
        self.sequences = {}
        self.repeats = defaultdict(lambda: deque(maxlen=REPEATS_KNOWN))
        self.fail = []
        self.pause = 0.0
        self.reads = 0
        self.page_size = 500
        self.members = {}
        self.generation = 0

    async def append(self, topic, entries, *, fence=None, expected_end=None):
        if self.pause:
            await asyncio.sleep(self.pause)
        fault = self.fail.pop(0) if self.fail else None
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
        """Return the end of an append that is repeated, None for a new one."""
        known = self.epochs.get(topic, 0)
        if fence.epoch < known:
            raise NotOwnerError(f"epoch {known}", step="log.append")
        if fence.epoch > known:
            self.epochs[topic] = fence.epoch
            self.sequences[topic] = fence.sequence - 1
            self.repeats[topic].clear()
        if not entries:
            return None
        for sequence, end in self.repeats[topic]:
            if sequence == fence.sequence:
                return end
        if fence.sequence != self.sequences[topic] + 1:
            raise ConflictError("sequence", step="log.append")
        self.sequences[topic] = fence.sequence
        end = len(self.topics[topic]) + len(entries)
        self.repeats[topic].append((fence.sequence, end))
        return None

    async def read(self, topic, *, start, wait):
        self.reads += 1
        if start < self.first[topic]:
            raise TrimmedError("gone", step="log.read", first=self.first[topic])
        records = self.topics[topic]
        end = asyncio.get_running_loop().time() + wait
        while len(records) <= start and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(READ_POLL_SECONDS)
        return Page(tuple(records[start:]), len(records))

    async def read_newest(self, topic, *, after=""):
        self.reads += 1
        newest = {}
        for entry in self.topics[topic]:
            newest[entry.key] = entry
        held = sorted(
            (entry for entry in newest.values() if entry.value and entry.key > after),
            key=lambda entry: entry.key,
        )
        page = tuple(held[: self.page_size])
        next_key = page[-1].key if len(held) > self.page_size else ""
        return Page(page, len(self.topics[topic]), complete=False, next_key=next_key)

    def trim(self, topic):
        self.first[topic] = len(self.topics[topic])

    async def join(self, member, *, generation):
        if member not in self.members:
            self.generation += 1
        self.members[member] = True
        return self.generation

    async def leave(self, member):
        self.members.pop(member, None)
        self.generation += 1

    async def list_members(self):
        return frozenset(self.members)

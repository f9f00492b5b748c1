"""Appends of the cell's owner to the progress topic.

Each append carries the owner's epoch and a sequence number. The log rejects appends of
earlier epochs and recognises repeated ones, so an append without an answer is safe to
repeat.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from ..core.clock import read_uptime
from ..core.errors import ConflictError, NotOwnerError, PlantainhingeError
from ..core.ids import Epoch, JobId, Seconds
from ..core.log_events import write_event
from ..dispatch.cell import Flush
from ..fleet.handover import HANDOVER_KEY, encode_handover
from ..fleet.protocols import Entry, Fence, KeyedLog
from ..jobs.records import (
    Progress,
    RecordKind,
    build_key,
    drop_checkpoints,
    encode_record,
    list_job_keys,
)
from .job_view import JOB_TOPIC, PROGRESS_TOPIC
from .owner_events import ProgressNotLogged, ProgressTooLarge

logger = logging.getLogger(__name__)

RETRY_SECONDS = Seconds(0.2)


@dataclass
class ProgressLog:
    """Appends progress under the current epoch, one append at a time.

    Parameters
    ----------
    on_accepted : callable
        Called after each append that the log accepted, with ``read_uptime`` before it
        was first sent. The log rejects those of an owner whose successor acts.
    """

    log: KeyedLog
    on_accepted: Callable[[Seconds], None] = lambda sent: None
    _epoch: Epoch = Epoch(0)
    _sequence: int = 0
    _append_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    _handover: dict[str, bytes] = field(default_factory=dict)

    async def begin_epoch(self, epoch: Epoch) -> None:
        """Fence earlier owners with an empty append under a new epoch.

        Raises
        ------
        NotOwnerError
            If the log has seen a higher epoch.
        """
        self._epoch, self._sequence = epoch, 0
        self._handover.clear()
        sent = read_uptime()
        await self.log.append(PROGRESS_TOPIC, [], fence=Fence(epoch, 0))
        self.on_accepted(sent)

    async def write_flush(self, flush: Flush, *, is_owner: Callable[[], bool]) -> bool:
        """Write the progress of jobs, then the handover state; see ``write``.

        Records of the handover that haven't changed are left out.
        """
        entries = self._encode_progress(flush.progress)
        handover: dict[str, bytes] = {}
        if flush.handover is not None:
            limit = self.log.record_bytes_max - len(HANDOVER_KEY) - 1
            handover = encode_handover(flush.handover, record_bytes_max=limit)
            entries.extend(
                Entry(key, value)
                for key, value in handover.items()
                if self._handover.get(key) != value
            )
        for batch in split_entries(entries, bytes_max=self.log.append_bytes_max):
            if not await self.write(batch, is_owner=is_owner):
                return False
        self._handover.update(handover)
        return True

    def _encode_progress(self, progress: Iterable[Progress]) -> list[Entry]:
        """Return the entries of jobs; one that is too large must not hold up others."""
        entries = []
        for record in progress:
            key = build_key(record)
            for version in (record, drop_checkpoints(record)):
                entry = Entry(key, encode_record(version))
                if entry.size <= self.log.record_bytes_max:
                    entries.append(entry)
                    break
            else:
                event = ProgressTooLarge(job=record.job, size_bytes=entry.size)
                write_event(logger, event)
        return entries

    async def write(
        self, entries: Sequence[Entry], *, is_owner: Callable[[], bool]
    ) -> bool:
        """Append entries, repeated under one sequence number until the log confirms.

        Other entries may go out under the next number only once this one is
        confirmed, so appends are serialised.

        Returns
        -------
        bool
            False if ``is_owner`` returned false before the append was confirmed.

        Raises
        ------
        NotOwnerError, ConflictError
            If another owner has taken over.
        """
        async with self._append_lock:
            fence = Fence(self._epoch, self._sequence)
            # an accepted repetition may only tell that the first append was accepted
            sent = read_uptime()
            while is_owner():
                try:
                    await self.log.append(PROGRESS_TOPIC, entries, fence=fence)
                except (NotOwnerError, ConflictError):
                    raise
                except PlantainhingeError as error:
                    write_event(logger, ProgressNotLogged(cause=str(error)))
                    await asyncio.sleep(RETRY_SECONDS)
                    continue
                self._sequence += 1
                self.on_accepted(sent)
                return True
        return False

    async def delete(
        self, jobs: Iterable[JobId], *, is_owner: Callable[[], bool]
    ) -> bool:
        """Delete all records of jobs from the log.

        Returns
        -------
        bool
            False if ``is_owner`` returned false before the deletion was confirmed.
        """
        keys_by_job = [list_job_keys(job) for job in jobs]
        accepted = [
            Entry(keys[kind], b"")
            for keys in keys_by_job
            for kind in (RecordKind.ACCEPTED, RecordKind.CANCELLED)
        ]
        progress = [Entry(keys[RecordKind.PROGRESS], b"") for keys in keys_by_job]
        await self.log.append(JOB_TOPIC, accepted)
        return await self.write(progress, is_owner=is_owner)


def split_entries(entries: Iterable[Entry], *, bytes_max: int) -> Iterator[list[Entry]]:
    """Split entries into batches that the log takes in one append each."""
    batch: list[Entry] = []
    size = 0
    for entry in entries:
        if batch and size + entry.size > bytes_max:
            yield batch
            batch, size = [], 0
        batch.append(entry)
        size += entry.size
    if batch:
        yield batch

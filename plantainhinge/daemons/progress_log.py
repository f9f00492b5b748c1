"""Appends of the cell's owner to the progress topic.

Each append carries the owner's epoch and a sequence number. The log rejects appends of
earlier epochs and recognises repeated ones, so an append without an answer is safe to
repeat.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from ..core.errors import ConflictError, NotOwnerError, PlantainhingeError
from ..core.ids import Epoch, JobId, Seconds
from ..core.log_events import write_event
from ..dispatch.cell import Flush
from ..fleet.handover import HANDOVER_KEY, encode_handover
from ..fleet.protocols import Entry, Fence, KeyedLog
from ..jobs.records import RecordKind, build_key, encode_record, list_job_keys
from .job_view import JOB_TOPIC, PROGRESS_TOPIC
from .owner_events import ProgressNotLogged

logger = logging.getLogger(__name__)

RETRY_SECONDS = Seconds(0.2)


@dataclass
class ProgressLog:
    """Appends progress under the current epoch, one append at a time."""

    log: KeyedLog
    _epoch: Epoch = Epoch(0)
    _sequence: int = 0
    _append_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def begin_epoch(self, epoch: Epoch) -> None:
        """Fence earlier owners with an empty append under a new epoch.

        Raises
        ------
        NotOwnerError
            If the log has seen a higher epoch.
        """
        self._epoch, self._sequence = epoch, 0
        await self.log.append(PROGRESS_TOPIC, [], fence=Fence(epoch, 0))

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


def encode_flush(flush: Flush) -> list[Entry]:
    """Return the log entries of a flush: progress of jobs, then the handover state."""
    entries = [
        Entry(build_key(progress), encode_record(progress))
        for progress in flush.progress
    ]
    if flush.handover is not None:
        entries.append(Entry(HANDOVER_KEY, encode_handover(flush.handover)))
    return entries

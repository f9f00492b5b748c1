"""The owner's appends of progress: fenced, numbered, one at a time."""

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
    """Writes under one epoch after another."""

    log: KeyedLog
    _epoch: Epoch = Epoch(0)
    _sequence: int = 0
    _append_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def begin_epoch(self, epoch: Epoch) -> None:
        """Shut earlier owners out."""
        self._epoch, self._sequence = epoch, 0
        await self.log.append(PROGRESS_TOPIC, [], fence=Fence(epoch, 0))

    async def write(
        self, entries: Sequence[Entry], *, is_owner: Callable[[], bool]
    ) -> bool:
        """Append entries, repeating that under one number while answers are lost.

        The next number may carry other entries only after this one was answered,
        so appends take turns.

        Returns
        -------
        bool
            False if ``is_owner`` said so first.

        Raises
        ------
        NotOwnerError, ConflictError
            If another owner came.
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
        """Delete all records of some jobs; returns whether that was done."""
        keys = [list_job_keys(job) for job in jobs]
        accepted = [
            Entry(of_job[kind], b"")
            for of_job in keys
            for kind in (RecordKind.ACCEPTED, RecordKind.CANCELLED)
        ]
        progress = [Entry(of_job[RecordKind.PROGRESS], b"") for of_job in keys]
        await self.log.append(JOB_TOPIC, accepted)
        return await self.write(progress, is_owner=is_owner)


def encode_flush(flush: Flush) -> list[Entry]:
    """Return the entries of a flush."""
    entries = [
        Entry(build_key(progress), encode_record(progress))
        for progress in flush.progress
    ]
    if flush.handover is not None:
        entries.append(Entry(HANDOVER_KEY, encode_handover(flush.handover)))
    return entries

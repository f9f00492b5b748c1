"""Appends of the cell's owner to the progress topic.

Each append carries the owner's epoch and a sequence number. The log rejects appends of
earlier epochs and recognises repeated ones, so an append without an answer is safe to
repeat.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field, replace

from ..core.clock import read_uptime
from ..core.errors import (
    ConflictError,
    NotOwnerError,
    PlantainhingeError,
    TooLargeError,
)
from ..core.ids import Epoch, JobId, Seconds
from ..core.log_events import write_event
from ..dispatch.cell import Flush
from ..fleet.handover import HANDOVER_KEY, encode_handover
from ..fleet.protocols import Entry, Fence, KeyedLog
from ..jobs.record_sizes import Detail, fit_progress
from ..jobs.records import Progress, RecordKind, build_key, list_job_keys
from .job_view import JOB_TOPIC, PROGRESS_TOPIC
from .owner_events import (
    ProgressNotLogged,
    ProgressShortened,
    ProgressTooLarge,
    RecordRefused,
)

logger = logging.getLogger(__name__)

RETRY_SECONDS = Seconds(0.2)
# the length of a key of the handover, and the byte that says it
HANDOVER_KEY_BYTES = 24


@dataclass(frozen=True, slots=True)
class _Unit:
    """Entries that the log must hold together or not at all.

    Parameters
    ----------
    subject : str
        Id of a job, or ``HANDOVER_KEY``.
    """

    subject: str
    entries: Sequence[Entry]

    @property
    def size(self) -> int:
        return sum(entry.size for entry in self.entries)


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
    _refused_handover: dict[str, bytes] = field(default_factory=dict)

    async def begin_epoch(self, epoch: Epoch) -> None:
        """Fence earlier owners with an empty append under a new epoch.

        Raises
        ------
        NotOwnerError
            If the log has seen a higher epoch.
        """
        self._epoch, self._sequence = epoch, 0
        self._handover.clear()
        self._refused_handover = {}
        sent = read_uptime()
        await self.log.append(PROGRESS_TOPIC, [], fence=Fence(epoch, 0))
        self.on_accepted(sent)

    async def write_flush(
        self, flush: Flush, *, is_owner: Callable[[], bool]
    ) -> Flush | None:
        """Write the progress of jobs, then the handover state; see ``write``.

        Records of the handover that haven't changed are left out. A record that the log
        refuses for its size holds up no other, and isn't sent again as it is.

        Returns
        -------
        Flush, optional
            What the log holds now of the flush; None if ``is_owner`` returned false
            before all appends were confirmed. If progress of a job was refused, it has
            no ends and no trials, as that progress may tell of any of them.
        """
        units = self._encode_progress(flush.progress)
        handover: dict[str, bytes] = {}
        if flush.handover is not None:
            limit = self.log.record_bytes_max - HANDOVER_KEY_BYTES
            handover = encode_handover(flush.handover, record_bytes_max=limit)
            units.extend(self._list_handover_units(handover))
        refused: set[str] = {each.job for each in flush.progress}
        refused -= {unit.subject for unit in units}
        for batch in _pack_units(units, bytes_max=self.log.append_bytes_max):
            subjects = await self._write_units(batch, is_owner=is_owner)
            if subjects is None:
                return None
            refused |= subjects
        return self._select_logged(flush, handover, refused)

    def _list_handover_units(self, handover: dict[str, bytes]) -> list[_Unit]:
        """Return the changed records, as one unit if one append can hold them."""
        if handover == self._refused_handover:
            return []
        changed = [
            Entry(key, value)
            for key, value in handover.items()
            if self._handover.get(key) != value
        ]
        batches = split_entries(changed, bytes_max=self.log.append_bytes_max)
        return [_Unit(HANDOVER_KEY, batch) for batch in batches]

    def _select_logged(
        self, flush: Flush, handover: dict[str, bytes], refused: set[str]
    ) -> Flush:
        """Return a flush without what was refused, and note the logged handover."""
        is_known = bool(handover) and handover == self._refused_handover
        if HANDOVER_KEY in refused or is_known:
            self._refused_handover = handover
            flush = replace(flush, handover=None)
        else:
            self._handover.update(handover)
        logged = tuple(each for each in flush.progress if each.job not in refused)
        if len(logged) < len(flush.progress):
            flush = replace(flush, progress=logged, ends=(), trials=())
        return flush

    async def _write_units(
        self, units: Sequence[_Unit], *, is_owner: Callable[[], bool]
    ) -> set[str] | None:
        """Append units, one by one if the log refuses them together for their size.

        Returns the subjects of those that it refuses; None as in ``write``.
        """
        entries = [entry for unit in units for entry in unit.entries]
        try:
            return set() if await self.write(entries, is_owner=is_owner) else None
        except TooLargeError as error:
            if len(units) == 1:
                event = RecordRefused(
                    record=units[0].subject, size_bytes=units[0].size, cause=str(error)
                )
                write_event(logger, event)
                return {units[0].subject}
        refused: set[str] = set()
        middle = len(units) // 2
        for half in (units[:middle], units[middle:]):
            subjects = await self._write_units(half, is_owner=is_owner)
            if subjects is None:
                return None
            refused |= subjects
        return refused

    def _encode_progress(self, progress: Iterable[Progress]) -> list[_Unit]:
        """Return the entries of jobs, without those whose progress can't be logged."""
        units = []
        for record in progress:
            key = build_key(record)
            limit = self.log.record_bytes_max - len(key.encode()) - 1
            sized = fit_progress(record, bytes_max=limit)
            if sized is None:
                write_event(logger, ProgressTooLarge(job=record.job))
                continue
            units.append(_Unit(record.job, [Entry(key, sized.value)]))
            if sized.detail is not Detail.WHOLE:
                event = ProgressShortened(
                    job=record.job, detail=sized.detail, size_bytes=len(sized.value)
                )
                write_event(logger, event)
        return units

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
        TooLargeError
            If the log refuses the entries for their size, which a repetition can't
            change. Nothing was appended, and the sequence number is still free.
        """
        async with self._append_lock:
            fence = Fence(self._epoch, self._sequence)
            # an accepted repetition may only tell that the first append was accepted
            sent = read_uptime()
            while is_owner():
                try:
                    await self.log.append(PROGRESS_TOPIC, entries, fence=fence)
                except (NotOwnerError, ConflictError, TooLargeError):
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
        for batch in split_entries(accepted, bytes_max=self.log.append_bytes_max):
            await self.log.append(JOB_TOPIC, batch)
        for batch in split_entries(progress, bytes_max=self.log.append_bytes_max):
            if not await self.write(batch, is_owner=is_owner):
                return False
        return True


def split_entries(entries: Iterable[Entry], *, bytes_max: int) -> Iterator[list[Entry]]:
    """Split entries into batches that the log takes in one append each."""
    units = (_Unit(entry.key, [entry]) for entry in entries)
    for batch in _pack_units(units, bytes_max=bytes_max):
        yield [entry for unit in batch for entry in unit.entries]


def _pack_units(units: Iterable[_Unit], *, bytes_max: int) -> Iterator[list[_Unit]]:
    batch: list[_Unit] = []
    size = 0
    for unit in units:
        if batch and size + unit.size > bytes_max:
            yield batch
            batch, size = [], 0
        batch.append(unit)
        size += unit.size
    if batch:
        yield batch

"""An instance's local replica of the jobs in the log."""

import logging

from ..core.errors import CorruptRecordError
from ..core.ids import Epoch, JobId
from ..core.log_events import write_event
from ..fleet.handover import HANDOVER_KEY, Handover, HandoverRecords
from ..fleet.protocols import Entry, KeyedLog
from ..jobs.ownership import EPOCH_KEY, decode_marker
from ..jobs.records import Record, decode_record
from ..jobs.table import JobTable
from .tail import Tail
from .view_events import HandoverIgnored, RecordIgnored

logger = logging.getLogger(__name__)

JOB_TOPIC = "keyed.jobs"
PROGRESS_TOPIC = "keyed.progress"


class JobView:
    """A table of jobs, updated from the job topic and the progress topic.

    Attributes
    ----------
    new_records : list of Record
        Records of the job topic applied since the last ``take_new_records``.
    epoch : Epoch
        The highest epoch marker read from the job topic.
    """

    def __init__(self, log: KeyedLog) -> None:
        self.table = JobTable()
        self.new_records: list[Record] = []
        self._handover = HandoverRecords()
        self.epoch = Epoch(0)
        self.job_tail = Tail(log, JOB_TOPIC, self._apply_job, _ignore_reset)
        self.progress_tail = Tail(
            log, PROGRESS_TOPIC, self._apply_progress, _ignore_reset
        )

    @property
    def handover(self) -> Handover:
        """Return the state that the last owner left for the next one."""
        return self._handover.combine()

    def take_new_records(self) -> list[Record]:
        """Return and clear the records of the job topic applied since the last call."""
        fresh, self.new_records = self.new_records, []
        return fresh

    @property
    def loaded(self) -> bool:
        """Whether the view holds anything that ``clear`` would drop."""
        return self.job_tail.position is not None or bool(self.table.rows)

    def clear(self) -> None:
        """Drop all rows; the next read starts over."""
        self.job_tail.rewind()
        self.progress_tail.rewind()
        self.table.clear()
        self.new_records.clear()

    def _apply_job(self, entry: Entry) -> None:
        if entry.key == EPOCH_KEY:
            self._apply_epoch_marker(entry.value)
            return
        record = self._apply(entry)
        if record is not None:
            self.new_records.append(record)

    def _apply_epoch_marker(self, value: bytes) -> None:
        try:
            self.epoch = max(self.epoch, decode_marker(value).epoch)
        except CorruptRecordError as error:
            write_event(logger, RecordIgnored(key=EPOCH_KEY, cause=str(error)))

    def _apply_progress(self, entry: Entry) -> None:
        if not entry.key.startswith(HANDOVER_KEY):
            self._apply(entry)
            return
        try:
            self._handover.apply(entry.key, entry.value)
        except CorruptRecordError as error:
            write_event(logger, HandoverIgnored(cause=str(error)))

    def _apply(self, entry: Entry) -> Record | None:
        if not entry.value:
            self.table.remove(JobId(entry.key[1:]))
            return None
        try:
            record = decode_record(entry.key, entry.value)
        except CorruptRecordError as error:
            write_event(logger, RecordIgnored(key=entry.key, cause=str(error)))
            return None
        self.table.apply(record)
        return record


def _ignore_reset() -> None:
    """Keep the rows when a tail restarts; records only add information to a job."""

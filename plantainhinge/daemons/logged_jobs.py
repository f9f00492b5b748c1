"""Opens jobs from the log in the owner's cell."""

import logging

from ..core.ids import Seconds
from ..core.log_events import write_event
from ..dispatch.cell import Cell
from ..jobs.model import JobRecord
from ..jobs.records import Progress
from .owner_events import JobNotOpened

logger = logging.getLogger(__name__)


def open_logged_job(
    cell: Cell,
    record: JobRecord,
    progress: Progress | None,
    *,
    wall: Seconds,
    inherited: bool,
) -> None:
    """Open a job; one that can't be opened must not stop each owner in turn."""
    try:
        cell.open_job(record, progress, wall=wall, inherited=inherited)
    except Exception as error:
        write_event(logger, JobNotOpened(job=record.job), error=error)

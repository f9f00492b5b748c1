"""The start of a takeover: fence the earlier owners, read the state of the cell."""

import asyncio
import logging
from collections.abc import Iterable

from ..core.errors import NotOwnerError, PlantainhingeError, UnavailableError
from ..core.ids import Epoch, Seconds
from ..core.log_events import write_event
from ..fleet.protocols import Entry, KeyedLog
from ..jobs.ownership import EPOCH_KEY, EpochMarker, encode_marker
from .job_view import JOB_TOPIC
from .ownership_events import TakeoverStepFailed
from .progress_log import ProgressLog
from .tail import Tail

logger = logging.getLogger(__name__)

TRIES_MAX = 20
FAILURE_PAUSE_SECONDS = Seconds(0.2)


async def fence_and_load(
    log: KeyedLog, progress: ProgressLog, tails: Iterable[Tail], epoch: Epoch
) -> None:
    """Fence earlier owners, then read all topics to their ends.

    The epoch marker in the job topic keeps an earlier owner from opening jobs that were
    accepted after it.

    Raises
    ------
    NotOwnerError
        If the log has seen a higher epoch.
    UnavailableError
        If the log could not be read in ``TRIES_MAX`` tries.
    """
    for attempt in range(TRIES_MAX):
        try:
            await progress.begin_epoch(epoch)
            marker = Entry(EPOCH_KEY, encode_marker(EpochMarker(epoch)))
            await log.append(JOB_TOPIC, [marker])
            await asyncio.gather(*(tail.catch_up() for tail in tails))
            return
        except NotOwnerError:
            raise
        except PlantainhingeError as error:
            event = TakeoverStepFailed(epoch=epoch, attempt=attempt, cause=str(error))
            write_event(logger, event)
            await asyncio.sleep(FAILURE_PAUSE_SECONDS)
    raise UnavailableError(
        f"the log could not be read in {TRIES_MAX} tries", step="cell.own"
    )

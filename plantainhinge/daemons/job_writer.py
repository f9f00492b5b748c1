"""Appends records about jobs to the log on behalf of callers.

An append without an answer is retried, as repeating it is harmless. The caller decides
whether to forward the call when the log can't be reached.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from ..core.clock import read_monotonic
from ..core.errors import PlantainhingeError, UnavailableError, UncertainError
from ..core.ids import Seconds
from ..core.log_events import write_event
from ..fleet.protocols import Entry, KeyedLog
from ..jobs.outcomes import CallOutcome
from ..jobs.record_sizes import compress
from ..jobs.records import Record, build_key, encode_record
from .call_events import AppendFailed
from .job_view import JOB_TOPIC

logger = logging.getLogger(__name__)

APPEND_TRIES_MAX = 3
# reserved from a caller's timeout for sending the answer
ANSWER_MARGIN_SECONDS = Seconds(0.2)
RETRY_PAUSE_SECONDS = Seconds(0.05)
# interval at which a pending append checks whether the log is lost
LOST_CHECK_SECONDS = Seconds(0.1)
TIMEOUT_SECONDS_MIN = Seconds(0.05)


@dataclass
class JobWriter:
    """Writes records about jobs to the log.

    Parameters
    ----------
    is_log_lost : callable
        Returns whether the log has stopped answering this instance.
    """

    log: KeyedLog
    is_log_lost: Callable[[], bool]

    async def write(self, record: Record, *, timeout: Seconds) -> CallOutcome:
        """Append a record, with retries; repeating an append is harmless.

        REFUSED means that no append can have taken effect, UNCERTAIN that one may have
        or may yet do so, MALFORMED that the log can't hold the record at all.
        """
        deadline = read_monotonic() + timeout - ANSWER_MARGIN_SECONDS
        key = build_key(record)
        limit = self.log.record_bytes_max - len(key.encode()) - 1
        entry = Entry(key, compress(encode_record(record), bytes_max=limit))
        if entry.size > self.log.record_bytes_max:
            return CallOutcome.MALFORMED
        return await self._write_entry(record, entry, deadline)

    async def _write_entry(
        self, record: Record, entry: Entry, deadline: float
    ) -> CallOutcome:
        uncertain = False
        for _ in range(APPEND_TRIES_MAX):
            try:
                await self._append(entry, deadline)
                return CallOutcome.DONE
            except UnavailableError as error:
                _log_failure(record, error)
                if not uncertain:
                    return CallOutcome.REFUSED
            except UncertainError as error:
                uncertain = True
                _log_failure(record, error)
            except PlantainhingeError as error:
                _log_failure(record, error)
                return CallOutcome.UNCERTAIN if uncertain else CallOutcome.REFUSED
            if read_monotonic() >= deadline or self.is_log_lost():
                break
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
        return CallOutcome.UNCERTAIN

    async def _append(self, entry: Entry, deadline: float) -> None:
        """Append once; raise UncertainError at the deadline or once the log is lost."""
        append = asyncio.ensure_future(self.log.append(JOB_TOPIC, [entry]))
        deadline = max(deadline, read_monotonic() + TIMEOUT_SECONDS_MIN)
        try:
            while True:
                time_left = deadline - read_monotonic()
                await asyncio.wait(
                    {append}, timeout=max(0.0, min(LOST_CHECK_SECONDS, time_left))
                )
                if append.done():
                    append.result()
                    return
                if time_left <= 0 or self.is_log_lost():
                    raise UncertainError("no answer in time", step="log.append")
        finally:
            append.cancel()


def _log_failure(record: Record, error: Exception) -> None:
    write_event(logger, AppendFailed(job=record.job, cause=str(error)))

"""Client for the platform's log, over HTTP."""

import msgspec

from ..core.ids import Offset, StreamName
from ..core.messages import Page
from .http_calls import call, check_status, decode
from .http_pool import HttpPool
from .registry import LOGS

LOG_TIMEOUT_SECONDS = 2.0


class AppendResult(msgspec.Struct, frozen=True):
    """The log's response to an append."""

    offset: Offset


@LOGS.register("http")
class HttpLog:
    """Client for the log served at ``ip:port``."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._pool = HttpPool()

    def append(self, stream: StreamName, data: bytes) -> Offset:
        """Append one entry and return its offset."""
        step = "log.append"
        response = self._pool.exchange(
            self.address,
            "POST",
            f"/streams/{stream}",
            step=step,
            timeout=LOG_TIMEOUT_SECONDS,
            body=data,
        )
        check_status(response, step=step, peer=self.address)
        return decode(response.body, AppendResult, step=step, peer=self.address).offset

    def read(self, stream: StreamName, start: Offset, max_bytes: int) -> Page:
        """Return entries from ``start`` on; see ``PlatformLog.read``."""
        path = f"/streams/{stream}?start={start}&max_bytes={max_bytes}"
        return call(
            self._pool,
            self.address,
            "GET",
            path,
            step="log.read",
            response_type=Page,
            timeout=LOG_TIMEOUT_SECONDS,
        )

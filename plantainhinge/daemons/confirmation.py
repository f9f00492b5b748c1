"""When the log last confirmed that this process owns the cell.

Another process owns the cell only after an append that the log accepted. So an answer
of the log that shows no such append proves that there was none when the question was
sent.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..core.clock import read_monotonic, read_uptime
from ..core.ids import Epoch, Seconds
from ..core.log_events import write_event
from .ownership_events import OwnershipConfirmed, OwnershipUnconfirmed

logger = logging.getLogger(__name__)

INTERVAL_SECONDS = Seconds(0.3)
PAUSE_SECONDS = Seconds(0.1)
# a log that is only slow answers sooner
OVERDUE_SECONDS = Seconds(1.5)


@dataclass
class Confirmation:
    """The newest confirmation of one ownership.

    It is kept on a clock that counts suspensions of the system, since others may take
    over meanwhile.

    Parameters
    ----------
    check_ownership : callable
        Reads who owns the cell; returns whether the log answered that it is this
        process.
    """

    check_ownership: Callable[[], Awaitable[bool]]
    _confirmed_at: float = float("-inf")
    _is_overdue: bool = False

    def reset(self) -> None:
        """Forget the confirmations of an earlier ownership."""
        self._confirmed_at = float("-inf")
        self._is_overdue = False

    def note(self, sent: Seconds) -> None:
        """Note that the log confirmed the ownership.

        Parameters
        ----------
        sent : float
            ``read_uptime`` immediately before the call was first sent.
        """
        self._confirmed_at = max(self._confirmed_at, sent)

    def measure_age(self) -> float:
        """Return the seconds since the newest confirmation; infinite before any."""
        return read_uptime() - self._confirmed_at

    def read(self) -> float:
        """Return the newest confirmation in monotonic seconds."""
        return read_monotonic() - self.measure_age()

    async def request(self) -> None:
        """Ask the log for a confirmation."""
        sent = read_uptime()
        if await self.check_ownership():
            self.note(sent)

    async def run(self, epoch: Epoch, *, is_owner: Callable[[], bool]) -> None:
        """Ask for a confirmation whenever accepted appends haven't just been one."""
        while is_owner():
            if self.measure_age() >= INTERVAL_SECONDS:
                await self.request()
            if is_owner():
                self._log_change(epoch)
            await asyncio.sleep(PAUSE_SECONDS)

    def _log_change(self, epoch: Epoch) -> None:
        age = self.measure_age()
        if self._is_overdue is (age > OVERDUE_SECONDS):
            return
        self._is_overdue = not self._is_overdue
        if self._is_overdue:
            write_event(logger, OwnershipUnconfirmed(epoch=epoch, age_s=age))
        else:
            write_event(logger, OwnershipConfirmed(epoch=epoch, age_s=age))

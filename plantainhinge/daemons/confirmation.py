"""When the log last confirmed that this process owns the cell.

Another process owns the cell only after an append that the log accepted. So an answer
of the log that shows no such append proves that there was none when the question was
sent. While the log doesn't answer, the other members can vouch that there is none.
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
    ask_members : callable
        Given when the log last confirmed the ownership, returns until when the other
        members rule out another owner; both by ``read_uptime``.
    """

    check_ownership: Callable[[], Awaitable[bool]]
    ask_members: Callable[[float], Awaitable[float]]
    _confirmed_at: float = float("-inf")
    _vouched_until: float = float("-inf")
    _is_overdue: bool = False

    def reset(self) -> None:
        """Forget the confirmations of an earlier ownership."""
        self._confirmed_at = self._vouched_until = float("-inf")
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
        """Return the seconds since another owner was last ruled out.

        Infinite before any confirmation; zero as long as the members vouch.
        """
        newest = max(self._confirmed_at, self._vouched_until)
        return max(0.0, read_uptime() - newest)

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
            if read_uptime() - self._confirmed_at >= INTERVAL_SECONDS:
                await self.request()
            if is_owner():
                self._log_change(epoch)
            await asyncio.sleep(PAUSE_SECONDS)

    async def rely_on_members(self, *, is_owner: Callable[[], bool]) -> None:
        """Let the other members vouch while the log doesn't answer."""
        while is_owner():
            until = await self.ask_members(self._confirmed_at)
            self._vouched_until = max(self._vouched_until, until)
            await asyncio.sleep(INTERVAL_SECONDS)

    def _log_change(self, epoch: Epoch) -> None:
        age = self.measure_age()
        if self._is_overdue is (age > OVERDUE_SECONDS):
            return
        self._is_overdue = not self._is_overdue
        if self._is_overdue:
            write_event(logger, OwnershipUnconfirmed(epoch=epoch, age_s=age))
        else:
            write_event(logger, OwnershipConfirmed(epoch=epoch, age_s=age))

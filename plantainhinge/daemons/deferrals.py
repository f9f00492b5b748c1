"""Lets an owner go on while the log is away for all instances.

An owner that the log doesn't confirm can't tell whether it alone is cut off. If all
other members say that the log is silent for them too, and that they won't take the cell
over for some seconds, no other owner acts meanwhile.
"""

from collections.abc import Callable
from dataclasses import dataclass

from ..core.clock import read_uptime
from ..core.ids import Seconds
from ..jobs.forwarding import PassedDeferral, PassedResponse
from ..jobs.outcomes import CallOutcome
from ..jobs.ownership import DEFERRAL_SECONDS, compute_deferral_end, find_address
from .instance_peers import InstancePeers
from .ownership import Ownership

ASK_TIMEOUT_SECONDS = Seconds(0.5)
# the log counts as silent after this time, which is several times that of a slow answer
SILENT_SECONDS = Seconds(0.7)
NOT_DEFERRED = float("-inf")


@dataclass
class Deferrals:
    """Grants deferrals to the owner, and asks for them as the owner.

    Parameters
    ----------
    measure_silence : callable
        Returns the seconds since the log last answered this process.
    """

    ownership: Ownership
    peers: InstancePeers
    measure_silence: Callable[[], float]

    def grant(self, call: PassedDeferral) -> PassedResponse:
        """Defer claims if the log is silent here too; else the response has no age.

        A process that the log has never answered can't vouch for the one before it.
        """
        silence = self.measure_silence()
        is_silent = SILENT_SECONDS < silence < float("inf")
        if not is_silent or not self.ownership.defer_claims(
            DEFERRAL_SECONDS, owner=call.member
        ):
            return PassedResponse(CallOutcome.DONE)
        return PassedResponse(CallOutcome.DONE, age=Seconds(silence))

    async def request(self, confirmed_at: float) -> float:
        """Ask all other members for a deferral.

        Parameters
        ----------
        confirmed_at : float
            When the log last confirmed the ownership, by ``read_uptime``.

        Returns
        -------
        float
            The time, by ``read_uptime``, before which no other owner acts; minus
            infinity if that isn't sure.
        """
        asked_at = read_uptime()
        if asked_at - confirmed_at <= SILENT_SECONDS:
            return NOT_DEFERRED
        vouchers = self.ownership.list_vouchers()
        if not all(map(find_address, vouchers)):
            return NOT_DEFERRED
        call = PassedDeferral(self.ownership.member)
        answers = await self.peers.ask_all(vouchers, call, timeout=ASK_TIMEOUT_SECONDS)
        last_answers = [
            received - response.age
            for response, received in answers
            if response.age is not None
        ]
        if len(last_answers) < len(answers):
            return NOT_DEFERRED
        return compute_deferral_end(
            last_answers,
            confirmed_at=min(confirmed_at, self.ownership.joined_at),
            asked_at=asked_at,
        )

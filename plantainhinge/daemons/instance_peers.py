"""Forwards calls to other instances.

An instance asks the owner of the cell first, and forwards a change to other instances
when it could not write it to the log itself.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from ..adapters.stream_http_client import HttpCall, HttpClient
from ..core.clock import read_monotonic, read_uptime
from ..core.errors import PlantainhingeError, UnavailableError, UncertainError
from ..core.ids import MemberName, Seconds
from ..core.log_events import write_event
from ..jobs.forwarding import (
    PassedCall,
    PassedCancellation,
    PassedJob,
    PassedResponse,
    decode_response,
    encode_call,
)
from ..jobs.outcomes import CallOutcome
from ..jobs.ownership import parse_address
from .call_events import CallPassedOn, PeerFailed

logger = logging.getLogger(__name__)

STEP = "instance.pass-on"
PATH = "/jobs"
OK = 200
# two, as one peer may have lost the log at the same time
PEERS_ASKED_MAX = 2
PEER_TIMEOUT_SECONDS = Seconds(0.6)
# a peer that failed or refused a call isn't called again for this long
COOLDOWN_SECONDS = Seconds(1.0)
CONNECTIONS_MAX = 4


@dataclass
class InstancePeers:
    """Client for the other instances of the group.

    Parameters
    ----------
    member : MemberName
        This process's name in the group.
    get_members : callable
        Returns the members of the group as of the last refresh.
    """

    member: MemberName
    get_members: Callable[[], Collection[MemberName]]
    rng: random.Random = field(default_factory=random.Random)
    _cooldown_until: dict[MemberName, float] = field(default_factory=dict)
    _clients: dict[str, HttpClient] = field(default_factory=dict)

    async def ask(
        self, peer: MemberName, call: PassedCall, *, timeout: Seconds
    ) -> PassedResponse:
        """Return one peer's answer; REFUSED without a call during its cooldown."""
        if self._cooldown_until.get(peer, 0.0) > read_monotonic():
            return PassedResponse(CallOutcome.REFUSED)
        return await self._call(peer, call, timeout=timeout)

    async def ask_all(
        self, peers: Iterable[MemberName], call: PassedCall, *, timeout: Seconds
    ) -> list[tuple[PassedResponse, Seconds]]:
        """Return each peer's answer, and when it was received (uptime)."""

        async def ask(peer: MemberName) -> tuple[PassedResponse, Seconds]:
            response = await self._call(peer, call, timeout=timeout)
            return response, read_uptime()

        return list(await asyncio.gather(*map(ask, peers)))

    async def ask_any(self, call: PassedCall, *, timeout: Seconds) -> PassedResponse:
        """Return the answer of a peer chosen at random; REFUSED if there is none."""
        for peer in self._choose_peers()[:1]:
            return await self._call(peer, call, timeout=timeout)
        return PassedResponse(CallOutcome.REFUSED)

    async def forward(
        self, call: PassedJob | PassedCancellation, *, timeout: Seconds
    ) -> PassedResponse:
        """Send a change to other instances until one of them settles it.

        REFUSED means that no instance changed anything, UNCERTAIN that one may have.
        """
        deadline = read_monotonic() + timeout
        uncertain = False
        for peer in self._choose_peers():
            time_left = min(PEER_TIMEOUT_SECONDS, deadline - read_monotonic())
            if time_left <= 0:
                break
            answer = await self._call(peer, call, timeout=Seconds(time_left))
            write_event(
                logger,
                CallPassedOn(
                    job=call.job,
                    passed_call=type(call).__name__,
                    peer=peer,
                    outcome=answer.outcome,
                ),
            )
            if answer.outcome not in (CallOutcome.REFUSED, CallOutcome.UNCERTAIN):
                return answer
            uncertain = uncertain or answer.outcome is CallOutcome.UNCERTAIN
        return PassedResponse(
            CallOutcome.UNCERTAIN if uncertain else CallOutcome.REFUSED
        )

    def _choose_peers(self) -> list[MemberName]:
        """Return the peers to call, in random order to spread the load."""
        now = read_monotonic()
        self._cooldown_until = {
            peer: until for peer, until in self._cooldown_until.items() if now < until
        }
        peers = [
            member
            for member in self.get_members()
            if member != self.member and member not in self._cooldown_until
        ]
        return self.rng.sample(sorted(peers), min(PEERS_ASKED_MAX, len(peers)))

    async def _call(
        self, peer: MemberName, call: PassedCall, *, timeout: Seconds
    ) -> PassedResponse:
        client = self._get_client(parse_address(peer))
        request = HttpCall(method="POST", path=PATH, body=encode_call(call))
        try:
            answer = await client.call(request, timeout=timeout)
            if answer.status != OK:
                raise UncertainError(
                    f"status {answer.status}; valid: {OK}", step=STEP, peer=peer
                )
            decoded = decode_response(answer.body)
            if decoded.outcome is CallOutcome.REFUSED:
                self._cooldown_until[peer] = read_monotonic() + COOLDOWN_SECONDS
            return decoded
        except UnavailableError as error:
            self._record_failure(peer, error)
            return PassedResponse(CallOutcome.REFUSED)
        except PlantainhingeError as error:
            self._record_failure(peer, error)
            return PassedResponse(CallOutcome.UNCERTAIN)

    def _record_failure(self, peer: MemberName, error: PlantainhingeError) -> None:
        write_event(logger, PeerFailed(peer=peer, cause=str(error)))
        self._cooldown_until[peer] = read_monotonic() + COOLDOWN_SECONDS

    def _get_client(self, address: str) -> HttpClient:
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = HttpClient(address, CONNECTIONS_MAX)
        return client

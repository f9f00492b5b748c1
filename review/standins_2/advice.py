"""Stand-in for the service that says which workers may run a step."""

import asyncio
import json
import time
from dataclasses import dataclass, field

from plantainhinge.adapters.stream_http_messages import HttpReply, HttpRequest
from plantainhinge.adapters.stream_http_server import HttpServer
from standins.addresses import find_free_address

from .record import Record

DECISION_SECONDS = 0.05
PERIOD_SECONDS = 0.005
VALIDITY_SECONDS = 3.0


@dataclass
class Advice:
    """Allows some workers to run any step, one call at a time.

    Parameters
    ----------
    allowed : frozenset of str
        The workers that may run the steps.
    """

    allowed: frozenset[str]
    record: Record
    address: str = field(default_factory=find_free_address)
    _tickets: dict[tuple[str, str], tuple[str, float]] = field(default_factory=dict)
    _turn: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def start(self) -> None:
        """Start listening."""
        await HttpServer(self.address, self.handle).start()

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Answer one call with tickets for the workers that are allowed."""
        body = json.loads(request.body)
        step, workers = body["step"], body["workers"]
        async with self._turn:
            await asyncio.sleep(DECISION_SECONDS + PERIOD_SECONDS * len(workers))
        good = [
            [worker, self._issue(step, worker)]
            for worker in workers
            if worker in self.allowed
        ]
        self.record.write(
            "advice", step=step, asked=len(workers), good=[row[0] for row in good]
        )
        content = {"good": good, "validityMs": int(1000 * VALIDITY_SECONDS)}
        return HttpReply(status=200, body=json.dumps(content).encode())

    def _issue(self, step: str, worker: str) -> str:
        ticket = f"{step}-{worker}-{time.monotonic():.3f}"
        until = time.monotonic() + VALIDITY_SECONDS
        self._tickets[step, worker] = (ticket, until)
        return ticket

    def is_valid(self, step: str, worker: str, ticket: str) -> bool:
        """Return whether a ticket lets a worker run a step now."""
        known, until = self._tickets.get((step, worker), ("", 0.0))
        return ticket == known and time.monotonic() < until

"""Client for targets, over HTTP."""

import math
import select
from collections.abc import Sequence

from ..core.messages import TargetRequest, TargetResponse
from ..core.protocols import Exchange
from .http_pool import HttpExchange, HttpPool, HttpResponse

REQUEST_HEADER = "Plantainhinge-Request-Id"
REFUSED_HEADER = "plantainhinge-refused"
LEAVING_HEADER = "plantainhinge-leaving"
IN_FLIGHT_HEADER = "plantainhinge-in-flight"
CONNECTIONS_PER_TARGET = 64
MILLISECONDS_PER_SECOND = 1000


class TargetExchange:
    """A request sent to a target."""

    def __init__(self, exchange: HttpExchange, request: TargetRequest) -> None:
        self._exchange = exchange
        self._request = request

    def fileno(self) -> int:
        """Return the socket's file descriptor, so that the exchange can be polled."""
        return self._exchange.fileno()

    def receive(self) -> TargetResponse:
        """Return the complete response.

        Raises
        ------
        UncertainError
            If no complete response arrives in time, or it belongs to another request.
        """
        response = self._exchange.receive(self._matches_request)
        return TargetResponse(
            status=response.status,
            headers=response.headers,
            body=response.body,
            refused=REFUSED_HEADER in response.headers,
            leaving=LEAVING_HEADER in response.headers,
            in_flight=_read_count(response.headers.get(IN_FLIGHT_HEADER, "0")),
        )

    def abandon(self) -> None:
        """Close the connection, so that a late response is discarded."""
        self._exchange.abandon()

    def _matches_request(self, response: HttpResponse) -> bool:
        return response.headers.get(REQUEST_HEADER.lower()) == self._request.request


class HttpTargetClient:
    """Client for all targets, by address.

    Parameters
    ----------
    per_target : int
        Maximum number of connections to one target, idle ones included.
    """

    def __init__(self, *, per_target: int = CONNECTIONS_PER_TARGET) -> None:
        self._pool = HttpPool(per_peer=per_target)

    def send(self, address: str, request: TargetRequest) -> TargetExchange:
        """Send a request without waiting for the response.

        Raises
        ------
        UnavailableError
            If no connection could be established: nothing was sent.
        UncertainError
            If sending failed: the request may have been executed.
        """
        exchange = self._pool.send(
            address,
            request.method,
            request.path,
            step="target.exchange",
            timeout=request.timeout,
            body=request.body,
            headers={**request.headers, REQUEST_HEADER: request.request},
        )
        return TargetExchange(exchange, request)

    def wait(self, exchanges: Sequence[Exchange], timeout: float) -> list[Exchange]:
        """Wait until some exchanges are ready to receive and return them.

        The list is empty if none is ready within ``timeout`` seconds.
        """
        poll = select.poll()
        by_descriptor = {}
        for exchange in exchanges:
            assert isinstance(exchange, TargetExchange)
            by_descriptor[exchange.fileno()] = exchange
            poll.register(exchange, select.POLLIN)
        ready = poll.poll(math.ceil(max(0.0, timeout) * MILLISECONDS_PER_SECOND))
        return [by_descriptor[descriptor] for descriptor, _ in ready]

    def close_idle(self) -> None:
        """Close connections whose idle timeout has passed."""
        self._pool.close_idle()


def _read_count(text: str) -> int:
    return int(text) if text.isdecimal() else 0

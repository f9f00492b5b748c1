"""Exchanges with targets over HTTP."""

from ..core.errors import UncertainError
from ..core.messages import TargetAnswer, TargetRequest
from .http_pool import HttpPool

REQUEST_HEADER = "Plantainhinge-Request-Id"
REFUSED_HEADER = "plantainhinge-refused"
LEAVING_HEADER = "plantainhinge-leaving"
IN_FLIGHT_HEADER = "plantainhinge-in-flight"


class HttpTargets:
    """All targets, reached by their addresses."""

    def __init__(self, *, idle_per_target: int = 8) -> None:
        self._pool = HttpPool(idle_per_peer=idle_per_target)

    def exchange(self, address: str, request: TargetRequest) -> TargetAnswer:
        """Send a request and return its whole answer.

        Raises
        ------
        UnavailableError
            If no connection could be made, so that nothing was sent.
        UncertainError
            If the exchange failed later, or the answer is another request's.
        """
        step = "target.exchange"
        raw = self._pool.exchange(
            address,
            request.method,
            request.path,
            step=step,
            timeout=request.timeout,
            body=request.body,
            headers={**request.headers, REQUEST_HEADER: request.request},
        )
        echoed = raw.headers.get(REQUEST_HEADER.lower())
        if echoed != request.request:
            raise UncertainError(
                f"answer to request {echoed!r}, not {request.request!r}",
                step=step,
                peer=address,
            )
        return TargetAnswer(
            status=raw.status,
            headers=raw.headers,
            body=raw.body,
            refused=REFUSED_HEADER in raw.headers,
            leaving=LEAVING_HEADER in raw.headers,
            in_flight=_read_count(raw.headers.get(IN_FLIGHT_HEADER, "0")),
        )


def _read_count(text: str) -> int:
    return int(text) if text.isdecimal() else 0

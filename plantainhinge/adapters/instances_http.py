"""The platform's instance list over HTTP."""

from ..core.messages import Instance
from .http_calls import call
from .http_pool import HttpPool


class HttpInstanceList:
    """The platform's instance list at ``ip:port``."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._pool = HttpPool()

    def fetch(self) -> list[Instance]:
        """Return the list as the platform last knew it."""
        return call(
            self._pool,
            self.address,
            "GET",
            "/instances",
            step="instances.fetch",
            response_type=list[Instance],
        )

"""Client for the platform's list of instances, over HTTP."""

from ..core.messages import Instance
from .http_calls import call
from .http_pool import HttpPool


class HttpInstanceList:
    """Client for the instance list served at ``ip:port``."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._pool = HttpPool()

    def fetch(self) -> list[Instance]:
        """Return all instances as the platform last recorded them."""
        return call(
            self._pool,
            self.address,
            "GET",
            "/instances",
            step="instances.fetch",
            response_type=list[Instance],
        )

"""Fronts of the store, one per instance.

An instance learns from the store how to reach workers and peers. Its front gives it the
addresses of proxies that only this instance uses, so that it can be cut off alone.
"""

import base64
import json
import re
from dataclasses import dataclass, field, replace

from plantainhinge.adapters.stream_http_messages import HttpReply, HttpRequest
from plantainhinge.adapters.stream_http_server import HttpServer
from standins.platform_store import StandInStore, build_json_reply

# all of one length, so that a record keeps its length too
ADDRESS = re.compile(rb"127\.0\.0\.1:\d{5}")
NEWEST_PATH = "/-/log-newest"
STATUS_OK = 200


@dataclass
class StoreFront:
    """Serves the store to one instance, with the addresses that it is to use.

    Parameters
    ----------
    address : str
        ``host:port`` on which to serve.
    refusal : int
        Status with which this instance alone is refused; 0 if it isn't.
    """

    address: str
    store: StandInStore
    refusal: int = 0
    _proxies: dict[bytes, bytes] = field(default_factory=dict)
    _targets: dict[bytes, bytes] = field(default_factory=dict)

    async def start(self) -> None:
        """Start listening."""
        await HttpServer(self.address, self.handle).start()

    def add_path(self, target: str, proxy: str) -> None:
        """Give out a proxy's address in place of a target's."""
        self._proxies[target.encode()] = proxy.encode()
        self._targets[proxy.encode()] = target.encode()

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Pass one request on to the store, and its reply back."""
        if self.refusal:
            return HttpReply(status=self.refusal)
        body = _replace_addresses(request.body, self._targets)
        reply = await self.store.handle(replace(request, body=body))
        if request.path.startswith(NEWEST_PATH) and reply.status == STATUS_OK:
            return self._rewrite_items(reply)
        return replace(reply, body=_replace_addresses(reply.body, self._proxies))

    def _rewrite_items(self, reply: HttpReply) -> HttpReply:
        content = json.loads(reply.body)
        for item in content["items"]:
            value = _replace_addresses(base64.b64decode(item["value"]), self._proxies)
            item["value"] = base64.b64encode(value).decode()
        return build_json_reply(content)


def _replace_addresses(content: bytes, addresses: dict[bytes, bytes]) -> bytes:
    return ADDRESS.sub(lambda found: addresses.get(found[0], found[0]), content)

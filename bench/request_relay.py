"""A process in front of the targets: a minimal relay or the gateway.

``bench.request_path`` starts it. The gateway and its tick are the real ones; the log
is in memory and the targets are given on the command line, so that no other process
of a site is needed.
"""

import argparse
import http.client
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from waitress.server import create_server

from plantainhinge.adapters.callers_http import CallersApplication
from plantainhinge.adapters.log_memory import MemoryLog
from plantainhinge.adapters.peers_grpc import Peers
from plantainhinge.adapters.targets_http import HttpTargetClient
from plantainhinge.core.documents import parse_configuration
from plantainhinge.core.ids import DomainId, Seconds, ServiceId, TargetId
from plantainhinge.core.messages import Instance, Target
from plantainhinge.core.settings import Settings
from plantainhinge.core.states import DaemonRole
from plantainhinge.core.tick import TickLoop
from plantainhinge.daemons.executor import CallExecutor
from plantainhinge.daemons.gateway import Gateway
from plantainhinge.daemons.log_driver import LogDriver
from plantainhinge.daemons.node import Node

EXAMPLE = Path(__file__).parent.parent / "examples" / "lochbrae.jsonc"
THREADS = 64
DOMAIN = DomainId("scot-a")
SERVICE = ServiceId("formulas")

Environ = dict[str, Any]


class MinimalRelay:
    """Forwards requests to the targets in turn over persistent connections.

    It uses Waitress and http.client and does nothing else: the baseline for the
    gateway.
    """

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = addresses
        self._request_count = 0
        self._local = threading.local()

    def __call__(
        self, environ: Environ, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Forward one request to the next target."""
        self._request_count += 1
        address = self._addresses[self._request_count % len(self._addresses)]
        connection = self._get_connection(address)
        body = environ["wsgi.input"].read()
        connection.request(
            environ["REQUEST_METHOD"], environ["PATH_INFO"], body or None
        )
        response = connection.getresponse()
        content = response.read()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(content))),
        ]
        start_response(f"{response.status} {response.reason}", headers)
        return [content]

    def _get_connection(self, address: str) -> http.client.HTTPConnection:
        connections = self._local.__dict__.setdefault("kept", {})
        if address not in connections:
            connections[address] = http.client.HTTPConnection(address)
        connection: http.client.HTTPConnection = connections[address]
        return connection


class _NoInstances:
    def fetch(self) -> list[Instance]:
        return []


def build_gateway(addresses: list[str], stack: ExitStack) -> CallersApplication:
    """Start a gateway that knows these targets and return its WSGI application."""
    settings = Settings(
        instance="entry-1",
        address="127.0.0.1",
        domain=DOMAIN,
        region="scotland",
        log_address="127.0.0.1:1",
        instance_list_address="127.0.0.1:1",
    )
    loop: TickLoop[Any] = TickLoop(period=Seconds(0.05))
    executor = CallExecutor(loop, stack.enter_context(ThreadPoolExecutor(4)))
    peers = Peers()
    stack.enter_context(peers.connect())
    node = Node(
        settings,
        DaemonRole.GATEWAY,
        instances=_NoInstances(),
        executor=executor,
        driver=LogDriver(MemoryLog(), executor),
        peers=peers,
    )
    text = EXAMPLE.read_text(encoding="utf-8")
    node.configuration.reducer.configuration = parse_configuration(text)
    gateway = Gateway(node, HttpTargetClient())
    targets = [_build_target(address) for address in addresses]
    gateway.permits.table.replace(SERVICE, DOMAIN, targets, now=Seconds(0.0))
    thread = threading.Thread(target=loop.run, args=(gateway.tick,))
    thread.start()
    stack.callback(thread.join)
    stack.callback(loop.stop)
    return CallersApplication(gateway)


def _build_target(address: str) -> Target:
    return Target(
        target=TargetId(address),
        service=SERVICE,
        address=address,
        domain=DOMAIN,
        rack="rack-1",
        worker=f"worker-{address}",
    )


def main() -> None:
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("kind", choices=["bare", "gateway"])
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--targets", nargs="+", required=True)
    options = parser.parse_args()
    with ExitStack() as stack:
        if options.kind == "bare":
            application: Any = MinimalRelay(options.targets)
        else:
            application = build_gateway(options.targets, stack)
        create_server(
            application, host="127.0.0.1", port=options.port, threads=THREADS
        ).run()


if __name__ == "__main__":
    main()

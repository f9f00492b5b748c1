"""Small HTTP/1.1 server and client for the stand-ins; JSON bodies, keep-alive."""

import asyncio
import json
import random
import socket

HEADER_LIMIT = 1 << 22
# below the ports of outgoing connections, so that none takes the address of a server
# that is started again
PORTS = range(20000, 32000)
PORT_TRIES_MAX = 200
_taken = set()


def find_free_address():
    """Return a free loopback address that this process has not used yet."""
    for _ in range(PORT_TRIES_MAX):
        port = random.SystemRandom().choice(PORTS)
        if port in _taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _taken.add(port)
        return f"127.0.0.1:{port}"
    raise OSError("no free port")


class Request:
    """One request that a stand-in has received; header names are in lower case."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


class Reply:
    """One response of a stand-in."""

    def __init__(self, status=200, content=None, raw=None):
        self.status = status
        self.body = raw if raw is not None else json.dumps(content or {}).encode()


class Server:
    """Serves one loopback address until ``crash`` or ``close``."""

    def __init__(self, handle, address=None):
        self.handle = handle
        self.address = address
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self):
        if self.address is None:
            self.address = find_free_address()
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=HEADER_LIMIT, backlog=512
        )

    def crash(self):
        """Stop at once: no listener, all connections reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                reply = await self.handle(request)
                head = (
                    f"HTTP/1.1 {reply.status} Status\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(reply.body)}\r\n\r\n"
                )
                writer.write(head.encode() + reply.body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()


async def read_head(reader):
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ", 2)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


async def call(address, method, path, *, body=None, headers=(), timeout=3.0):
    """Make one call on a connection of its own.

    Returns the status and the decoded body; raises OSError, TimeoutError or
    IncompleteReadError if there is no complete answer.
    """
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in headers]
    if not any(name.lower() == "host" for name, _ in headers):
        lines.append(f"Host: {address}")
    if data or method == "POST":
        lines.append(f"Content-Length: {len(data)}")
        lines.append("Content-Type: application/json")
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise OSError("the connection closed before an answer")
            first, answer_headers = head
            length = int(answer_headers.get("content-length", 0))
            text = await reader.readexactly(length)
            content = json.loads(text) if text[:1] in (b"{", b"[") else {}
            return int(first.split(" ")[1]), content
        finally:
            writer.close()

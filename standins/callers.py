"""HTTP callers that fail over to another gateway only on a refused connection.

This is how callers behind a load balancer reach the gateways: a request that may
have been sent is never repeated.
"""

import http.client
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec

CALL_TIMEOUT_SECONDS = 30.0
ERROR_PAUSE_SECONDS = 0.02


class CallResult(msgspec.Struct, frozen=True, kw_only=True):
    """The response to one call, or how the call failed.

    Parameters
    ----------
    failure : str
        Why there was no complete response; empty if there was one.
    at : float
        Time of the response or failure, in seconds since the Unix epoch.
    """

    path: str
    status: int = 0
    outcome: str = ""
    retry_after: str = ""
    failure: str = ""
    body: bytes = b""
    at: float = 0.0


class Caller:
    """A caller that reuses its connection, as most HTTP clients do.

    Parameters
    ----------
    entries : list of str
        ``ip:port`` of each gateway, in order of preference.
    """

    def __init__(self, entries: list[str]) -> None:
        self._entries = entries
        self._connection: http.client.HTTPConnection | None = None

    def call(
        self, method: str, path: str, *, kind: str, key: str = "", body: bytes = b""
    ) -> CallResult:
        """Make one call; only a refused connection leads to the next gateway."""
        headers = {"Plantainhinge-Kind": kind}
        if key:
            headers["Idempotency-Key"] = key
        try:
            connection = self._connection or self._connect()
            self._connection = None
            connection.request(method, path, body or None, headers)
            response = connection.getresponse()
            content = response.read()
        except (OSError, http.client.HTTPException) as error:
            return CallResult(path=path, failure=repr(error), at=time.time())
        if not response.will_close:
            self._connection = connection
        return CallResult(
            path=path,
            status=response.status,
            outcome=response.headers.get("Plantainhinge-Outcome", ""),
            retry_after=response.headers.get("Retry-After", ""),
            body=content,
            at=time.time(),
        )

    def close(self) -> None:
        """Close the open connection, if any."""
        if self._connection is not None:
            self._connection.close()

    def _connect(self) -> http.client.HTTPConnection:
        for entry in self._entries:
            connection = http.client.HTTPConnection(entry, timeout=CALL_TIMEOUT_SECONDS)
            try:
                connection.connect()
            except ConnectionRefusedError:
                continue
            return connection
        raise ConnectionRefusedError("every gateway refused the connection")


@contextmanager
def call_repeatedly(
    entries: list[str], call: Callable[[Caller, int], CallResult], *, callers: int
) -> Iterator[list[CallResult]]:
    """Call repeatedly from several threads until the block ends; yield the results.

    Parameters
    ----------
    call : callable
        Makes one call; gets the caller and a number that is unique among all calls.
    """
    results: list[CallResult] = []
    stopped = threading.Event()

    def run(first: int) -> None:
        caller = Caller(entries)
        number = first
        while not stopped.is_set():
            result = call(caller, number)
            results.append(result)
            number += callers
            if result.outcome != "done":
                time.sleep(ERROR_PAUSE_SECONDS)
        caller.close()

    threads = [threading.Thread(target=run, args=(n,)) for n in range(callers)]
    for thread in threads:
        thread.start()
    try:
        yield results
    finally:
        stopped.set()
        for thread in threads:
            thread.join()

"""Cost of the gateway against the barest relay of the same targets.

``python -m bench.request_path --seed 1``. Targets, relay and load generator are
processes of their own; latency counts from the moment a request was due.
"""

import argparse
import random
import signal
import socket
import statistics
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

TARGETS = 4
FIRST_PORT = 18100
REQUEST = (
    b"GET /formulas/7 HTTP/1.1\r\nHost: bench\r\nPlantainhinge-Kind: lookup\r\n\r\n"
)
CONNECTIONS = 16
START_SECONDS = 20.0


@dataclass(frozen=True)
class Figures:
    """Latencies in milliseconds, or answers a second."""

    p50: float = 0.0
    p99: float = 0.0
    per_second: float = 0.0


class Caller:
    """One kept connection that sends a request at a time."""

    def __init__(self, port: int) -> None:
        self._socket = socket.create_connection(("127.0.0.1", port))
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def call(self) -> None:
        """Send one request and read its answer."""
        self._socket.sendall(REQUEST)
        data = self._socket.recv(65536)
        while not _is_whole(data):
            data += self._socket.recv(65536)
        if b" 200 " not in data[:16]:
            raise RuntimeError(data[:300])


def _is_whole(data: bytes) -> bool:
    head, end, body = data.partition(b"\r\n\r\n")
    if not end:
        return False
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return len(body) >= int(value)
    return False


def measure_latency(port: int, rate: float, seconds: float, seed: int) -> Figures:
    """Return latencies under an open load of ``rate`` requests a second."""
    draw = random.Random(seed)
    due, at = [], 0.0
    while at < seconds:
        at += draw.expovariate(rate)
        due.append(at)
    schedule = iter(due)
    lock = threading.Lock()
    taken: list[float] = []
    began = time.monotonic() + 0.1

    def work() -> None:
        caller = Caller(port)
        while True:
            with lock:
                when = next(schedule, None)
            if when is None:
                return
            time.sleep(max(0.0, began + when - time.monotonic()))
            caller.call()
            taken.append(time.monotonic() - began - when)

    _run_threads(work)
    ranked = sorted(taken)
    return Figures(
        p50=1000 * ranked[len(ranked) // 2], p99=1000 * ranked[int(len(ranked) * 0.99)]
    )


def measure_throughput(port: int, seconds: float) -> Figures:
    """Return answers a second when each connection asks again at once."""
    counts: list[int] = []
    until = time.monotonic() + seconds

    def work() -> None:
        caller, count = Caller(port), 0
        while time.monotonic() < until:
            caller.call()
            count += 1
        counts.append(count)

    _run_threads(work)
    return Figures(per_second=sum(counts) / seconds)


def _run_threads(work: Callable[[], None]) -> None:
    threads = [threading.Thread(target=work) for _ in range(CONNECTIONS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@contextmanager
def start(*arguments: str, port: int) -> Iterator[None]:
    """Run a process until the block ends."""
    process = subprocess.Popen([sys.executable, "-m", *arguments])
    try:
        _await_port(port)
        yield
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()


def _await_port(port: int) -> None:
    deadline = time.monotonic() + START_SECONDS
    while time.monotonic() < deadline:
        try:
            socket.create_connection(("127.0.0.1", port)).close()
            return
        except OSError:
            time.sleep(0.05)
    raise TimeoutError(f"nothing listens at port {port}")


def _await_answer(port: int) -> None:
    deadline = time.monotonic() + START_SECONDS
    while time.monotonic() < deadline:
        try:
            Caller(port).call()
            return
        except RuntimeError:
            time.sleep(0.05)
    raise TimeoutError(f"no answer at port {port}")


def main() -> None:
    """Print the medians of several runs, bare relay against gateway."""
    parser = argparse.ArgumentParser(prog="python -m bench.request_path")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--rate", type=float, default=300.0)
    parser.add_argument("--seconds", type=float, default=6.0)
    options = parser.parse_args()
    ports = [str(FIRST_PORT + number) for number in range(TARGETS)]
    addresses = [f"127.0.0.1:{port}" for port in ports]
    kinds = {"bare": FIRST_PORT + 50, "gateway": FIRST_PORT + 51}
    results: dict[str, list[tuple[Figures, Figures]]] = {kind: [] for kind in kinds}
    serving = ("standins.target", "--ip", "127.0.0.1", "--ports", *ports)
    with start(*serving, port=int(ports[-1])):
        for run in range(options.runs):
            for kind, port in kinds.items():
                relay = ("bench.request_relay", kind, "--port", str(port))
                with start(*relay, "--targets", *addresses, port=port):
                    _await_answer(port)
                    measure_throughput(port, 0.5)
                    latency = measure_latency(
                        port, options.rate, options.seconds, options.seed + run
                    )
                    top = measure_throughput(port, options.seconds / 2)
                results[kind].append((latency, top))
    print(f"seed {options.seed}, {options.runs} runs, {options.rate:.0f} requests/s")
    for kind, pairs in results.items():
        p50 = statistics.median(latency.p50 for latency, _ in pairs)
        p99 = statistics.median(latency.p99 for latency, _ in pairs)
        top = statistics.median(figures.per_second for _, figures in pairs)
        print(f"{kind:8} p50 {p50:6.2f} ms  p99 {p99:6.2f} ms  top {top:6.0f}/s")


if __name__ == "__main__":
    main()

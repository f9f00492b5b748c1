"""Compares the latency and throughput of the gateway with those of a minimal relay.

Run with ``python -m bench.request_path --seed 1``. Targets, relay and load generator
are separate processes. Latency counts from the scheduled time of a request and so
includes the wait for a free connection.
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
START_TIMEOUT_SECONDS = 20.0


@dataclass(frozen=True)
class Measurement:
    """Latencies in milliseconds, or throughput in responses per second."""

    p50: float = 0.0
    p99: float = 0.0
    per_second: float = 0.0


class Caller:
    """A persistent connection that sends one request at a time."""

    def __init__(self, port: int) -> None:
        self._socket = socket.create_connection(("127.0.0.1", port))
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def call(self) -> None:
        """Send one request and read its response.

        Raises
        ------
        RuntimeError
            If the status isn't 200.
        """
        self._socket.sendall(REQUEST)
        data = self._socket.recv(65536)
        while not _is_complete(data):
            data += self._socket.recv(65536)
        if b" 200 " not in data[:16]:
            raise RuntimeError(data[:300])


def _is_complete(data: bytes) -> bool:
    head, end, body = data.partition(b"\r\n\r\n")
    if not end:
        return False
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return len(body) >= int(value)
    return False


def measure_latency(port: int, rate: float, seconds: float, seed: int) -> Measurement:
    """Measure latencies under an open load of ``rate`` requests per second."""
    rng = random.Random(seed)
    due_times, due = [], 0.0
    while due < seconds:
        due += rng.expovariate(rate)
        due_times.append(due)
    schedule = iter(due_times)
    lock = threading.Lock()
    latencies: list[float] = []
    started_at = time.monotonic() + 0.1

    def send_requests() -> None:
        caller = Caller(port)
        while True:
            with lock:
                due = next(schedule, None)
            if due is None:
                return
            time.sleep(max(0.0, started_at + due - time.monotonic()))
            caller.call()
            latencies.append(time.monotonic() - started_at - due)

    _run_threads(send_requests)
    ranked = sorted(latencies)
    return Measurement(
        p50=1000 * ranked[len(ranked) // 2], p99=1000 * ranked[int(len(ranked) * 0.99)]
    )


def measure_throughput(port: int, seconds: float) -> Measurement:
    """Measure throughput when each connection sends its next request at once."""
    counts: list[int] = []
    ends_at = time.monotonic() + seconds

    def send_requests() -> None:
        caller, count = Caller(port), 0
        while time.monotonic() < ends_at:
            caller.call()
            count += 1
        counts.append(count)

    _run_threads(send_requests)
    return Measurement(per_second=sum(counts) / seconds)


def _run_threads(function: Callable[[], None]) -> None:
    threads = [threading.Thread(target=function) for _ in range(CONNECTIONS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@contextmanager
def start(*arguments: str, port: int) -> Iterator[None]:
    """Run a Python module as a process that listens on ``port``; kill it at the end."""
    process = subprocess.Popen([sys.executable, "-m", *arguments])
    try:
        _wait_for_port(port)
        yield
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()


def _wait_for_port(port: int) -> None:
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        try:
            socket.create_connection(("127.0.0.1", port)).close()
            return
        except OSError:
            time.sleep(0.05)
    raise TimeoutError(f"nothing listens at port {port}")


def _wait_for_response(port: int) -> None:
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        try:
            Caller(port).call()
            return
        except RuntimeError:
            time.sleep(0.05)
    raise TimeoutError(f"no response at port {port}")


def main() -> None:
    """Print the medians of several runs for the minimal relay and the gateway."""
    parser = argparse.ArgumentParser(prog="python -m bench.request_path")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--rate", type=float, default=300.0)
    parser.add_argument("--seconds", type=float, default=6.0)
    options = parser.parse_args()
    ports = [str(FIRST_PORT + number) for number in range(TARGETS)]
    addresses = [f"127.0.0.1:{port}" for port in ports]
    relay_ports = {"bare": FIRST_PORT + 50, "gateway": FIRST_PORT + 51}
    results: dict[str, list[tuple[Measurement, Measurement]]] = {
        kind: [] for kind in relay_ports
    }
    target_command = ("standins.target", "--ip", "127.0.0.1", "--ports", *ports)
    with start(*target_command, port=int(ports[-1])):
        for run in range(options.runs):
            for kind, port in relay_ports.items():
                relay = ("bench.request_relay", kind, "--port", str(port))
                with start(*relay, "--targets", *addresses, port=port):
                    _wait_for_response(port)
                    measure_throughput(port, 0.5)
                    latency = measure_latency(
                        port, options.rate, options.seconds, options.seed + run
                    )
                    throughput = measure_throughput(port, options.seconds / 2)
                results[kind].append((latency, throughput))
    print(f"seed {options.seed}, {options.runs} runs, {options.rate:.0f} requests/s")
    for kind, pairs in results.items():
        p50 = statistics.median(latency.p50 for latency, _ in pairs)
        p99 = statistics.median(latency.p99 for latency, _ in pairs)
        throughput = statistics.median(measured.per_second for _, measured in pairs)
        print(f"{kind:8} p50 {p50:6.2f} ms  p99 {p99:6.2f} ms  top {throughput:6.0f}/s")


if __name__ == "__main__":
    main()

"""Launcher of a small site of separate processes on loopback.

Each site reserves a loopback network ``127.<octet>.0.0/16``, so that several sites can
run at once. Run as a program, it starts a site and runs the demonstration on it. No
other program of the project starts processes.
"""

import argparse
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import ExitStack, contextmanager, suppress
from pathlib import Path
from typing import TypeVar

import msgspec

from plantainhinge.core.ids import DomainId, InstanceId, RackId, RegionId
from plantainhinge.core.messages import Instance
from plantainhinge.core.resources import Resources
from plantainhinge.core.states import InstanceRole, InstanceState

from .recorder import RecorderReport

T = TypeVar("T")

PLATFORM_LOG_PORT = 9100
INSTANCES_PORT = 9101
RESERVATION_PORT = 9199
WORKER_PORT = 9200
CALLERS_PORT = 8080
FIRST_OCTET = 16
OCTETS = 200
WAIT_TIMEOUT_SECONDS = 60.0
POLL_INTERVAL_SECONDS = 0.1
STOP_TIMEOUT_SECONDS = 20.0
DAEMONS = ("gateway", "scheduler")
LINGER_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 20
FETCH_TIMEOUT_SECONDS = 2
LOG_LINES_SHOWN = 8
WORKER_CAPACITY = Resources(30_000, 125 * 1024, 0)
REGION = RegionId("scotland")


class CallerReply(msgspec.Struct, frozen=True, kw_only=True):
    """Response of a gateway to a caller."""

    status: int
    outcome: str
    retry_after: str
    body: bytes


class Site:
    """The processes of one site and their addresses.

    Settings, log files and the output of processes are in ``folder``.

    Parameters
    ----------
    callers : mapping, optional
        The section ``callers`` of the daemons' settings.
    """

    def __init__(
        self,
        folder: Path,
        *,
        instances: int,
        domains: list[str],
        callers: Mapping[str, object] | None = None,
    ) -> None:
        self.folder = folder
        self.domains = domains
        self.callers = dict(callers or {})
        self.octet, self._reservation = _reserve_network()
        self.entries = [f"127.{self.octet}.1.{n + 1}" for n in range(instances)]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.platform = f"127.{self.octet}.0.1"
        self.instance_list: list[Instance] = []

    def start(self, name: str, *arguments: str) -> None:
        """Start ``python -m`` with the arguments; its output goes to ``<name>.log``."""
        with (self.folder / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments], stdout=output, stderr=output
            )

    def start_platform(self) -> None:
        """Start the stand-ins of the log and of the instance list."""
        for kind, port in (("log", PLATFORM_LOG_PORT), ("instances", INSTANCES_PORT)):
            self._start_standin(kind, kind, self.platform, port)
            wait_for_port(self.platform, port)

    def start_workers(self, count: int) -> None:
        """Start workers, assigned to the failure domains in turn."""
        for number in range(count):
            name = f"worker-{number + 1}"
            ip = f"127.{self.octet}.2.{number + 1}"
            self._start_standin("worker", name, ip, WORKER_PORT)
            domain = self.domains[number % len(self.domains)]
            self.instance_list.append(_build_worker(name, ip, domain))

    def start_daemons(self) -> None:
        """Start a gateway and a scheduler on each entry instance."""
        for number, ip in enumerate(self.entries):
            name = f"entry-{number + 1}"
            domain = self.domains[number % len(self.domains)]
            self.instance_list.append(_build_entry(name, ip, domain))
            settings = self.write_settings(name, ip, domain)
            for daemon in DAEMONS:
                self.start_daemon(daemon, name, settings)

    def start_daemon(self, daemon: str, instance: str, settings: Path) -> None:
        """Start one daemon of an entry instance."""
        self.start(
            f"{instance}-{daemon}",
            "plantainhinge",
            daemon,
            "--settings",
            str(settings),
        )

    def write_settings(self, name: str, ip: str, domain: str) -> Path:
        """Write the settings of one entry instance and return their path."""
        settings: dict[str, object] = {
            "instance": name,
            "address": ip,
            "domain": domain,
            "region": REGION,
            "log_address": f"{self.platform}:{PLATFORM_LOG_PORT}",
            "instance_list_address": f"{self.platform}:{INSTANCES_PORT}",
        }
        settings["callers"] = {"linger_seconds": LINGER_SECONDS} | self.callers
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps(settings), encoding="utf-8")
        return path

    def publish_instances(self) -> None:
        """Publish all instances on the platform's instance list."""
        address = f"{self.platform}:{INSTANCES_PORT}"
        connection = http.client.HTTPConnection(address, timeout=5)
        connection.request("PUT", "/instances", msgspec.json.encode(self.instance_list))
        connection.getresponse().read()
        connection.close()

    def run_command(self, *arguments: str) -> str:
        """Run the command line program and return its output."""
        finished = subprocess.run(
            [sys.executable, "-m", "plantainhinge", *arguments],
            capture_output=True,
            text=True,
            timeout=WAIT_TIMEOUT_SECONDS,
            check=False,
        )
        return (finished.stdout + finished.stderr).strip()

    def start_command(self, *arguments: str) -> subprocess.Popen[bytes]:
        """Start the command line program without waiting for it."""
        return subprocess.Popen(
            [sys.executable, "-m", "plantainhinge", *arguments],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def apply(self, path: Path) -> str:
        """Apply a configuration file and return the output of the command."""
        settings = str(self.folder / "entry-1.jsonc")
        return self.run_command("apply", str(path), "--settings", settings)

    def find_owner(self, stream: str) -> str:
        """Return the name of the process that owns a stream; empty if there is none."""
        settings = str(self.folder / "entry-1.jsonc")
        text = self.run_command("status", "--settings", settings, "--output", "json")
        for row in json.loads(text)["daemons"]:
            if stream in row["owned"]:
                return f"{row['instance']}-{row['role']}"
        return ""

    def change_domain(self, command: str, domain: str) -> str:
        """Run ``take-out`` or ``bring-back`` for a failure domain."""
        settings = str(self.folder / "entry-1.jsonc")
        return self.run_command(command, domain, "--settings", settings)

    def list_workers(self, domain: str) -> list[str]:
        """Return the names of the workers in a failure domain."""
        return [
            row.instance
            for row in self.instance_list
            if row.role is InstanceRole.WORKER and row.domain == domain
        ]

    def show_status(self) -> str:
        """Return the output of the status command."""
        settings = str(self.folder / "entry-1.jsonc")
        return self.run_command("status", "--settings", settings)

    def show_timeline(self, subject: str) -> str:
        """Return the timeline of a job, request or other subject."""
        settings = str(self.folder / "entry-1.jsonc")
        return self.run_command("timeline", subject, "--settings", settings)

    def call(
        self,
        entry: int,
        method: str,
        path: str,
        *,
        kind: str = "",
        key: str = "",
        body: bytes = b"",
    ) -> CallerReply:
        """Call the gateway of one entry instance as a caller would."""
        address = f"{self.entries[entry]}:{CALLERS_PORT}"
        headers = {}
        if kind:
            headers["Plantainhinge-Kind"] = kind
        if key:
            headers["Idempotency-Key"] = key
        connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_SECONDS)
        connection.request(method, path, body or None, headers)
        response = connection.getresponse()
        reply = CallerReply(
            status=response.status,
            outcome=response.headers.get("Plantainhinge-Outcome", ""),
            retry_after=response.headers.get("Retry-After", ""),
            body=response.read(),
        )
        connection.close()
        return reply

    def read_reports(self) -> list[RecorderReport]:
        """Return the reports of all workers that can be reached."""
        reports = []
        for row in self.instance_list:
            if row.role is InstanceRole.WORKER:
                with suppress(OSError):
                    reports.append(fetch(row.address, "/witness", RecorderReport))
        return reports

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process of the site."""
        self.processes[name].send_signal(number)

    def wait_for_exit(self, name: str) -> int:
        """Wait until a process has exited and return its exit code."""
        return self.processes[name].wait(WAIT_TIMEOUT_SECONDS)

    def stop(self) -> None:
        """Stop all processes, daemons before the stand-ins that they use.

        Suspended processes are resumed first, since they wouldn't handle SIGTERM.
        """
        daemons = [n for n in self.processes if n.endswith(DAEMONS)]
        standins = [n for n in self.processes if n not in daemons]
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
        for names in (daemons, standins):
            deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
            for name in names:
                self.processes[name].send_signal(signal.SIGTERM)
            for name in names:
                _reap(self.processes[name], deadline)
        self._reservation.close()

    def _start_standin(self, kind: str, name: str, ip: str, port: int) -> None:
        options = ("--name", name, "--ip", ip, "--port", str(port))
        self.start(name, "standins.main", kind, *options)


@contextmanager
def run_site(
    *,
    instances: int = 2,
    workers: int = 4,
    domains: list[str],
    callers: Mapping[str, object] | None = None,
) -> Iterator[Site]:
    """Start a site; all of its processes are stopped when the block ends.

    Parameters
    ----------
    callers : mapping, optional
        The section ``callers`` of the daemons' settings.
    """
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        site = Site(folder, instances=instances, domains=domains, callers=callers)
        stack.callback(site.stop)
        site.start_platform()
        site.start_workers(workers)
        site.start_daemons()
        site.publish_instances()
        for ip in site.entries:
            wait_for_port(ip, CALLERS_PORT)
        with _print_logs_on_failure(site):
            yield site


@contextmanager
def _print_logs_on_failure(site: Site) -> Iterator[None]:
    """Print the newest log lines of all processes if the block fails."""
    try:
        yield
    except BaseException:
        for path in sorted(site.folder.glob("*.log")):
            lines = path.read_text(encoding="utf-8").splitlines()[-LOG_LINES_SHOWN:]
            print(f"{path.name}:", *lines, sep="\n  ")
        raise


def fetch(address: str, path: str, response_type: type[T]) -> T:
    """Fetch a path from a stand-in and decode the response as the given type."""
    connection = http.client.HTTPConnection(address, timeout=FETCH_TIMEOUT_SECONDS)
    try:
        connection.request("GET", path)
        return msgspec.json.decode(connection.getresponse().read(), type=response_type)
    finally:
        connection.close()


def wait_until(description: str, condition: Callable[[], bool]) -> None:
    """Poll until a condition holds.

    Raises
    ------
    TimeoutError
        If it doesn't hold within ``WAIT_TIMEOUT_SECONDS``.
    """
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(POLL_INTERVAL_SECONDS)
    raise TimeoutError(
        f"condition not met within {WAIT_TIMEOUT_SECONDS} s: {description}"
    )


def wait_for_port(ip: str, port: int) -> None:
    """Wait until a port accepts connections."""
    wait_until(f"a listener at {ip}:{port}", lambda: _is_listening(ip, port))


def _is_listening(ip: str, port: int) -> bool:
    try:
        with socket.create_connection((ip, port), timeout=1):
            return True
    except OSError:
        return False


def _reserve_network() -> tuple[int, socket.socket]:
    """Reserve a loopback network; return its octet and the socket that reserves it."""
    for offset in range(OCTETS):
        octet = FIRST_OCTET + (os.getpid() + offset) % OCTETS
        with suppress(OSError):
            return octet, socket.create_server((f"127.{octet}.0.254", RESERVATION_PORT))
    raise TimeoutError("every loopback network is in use by another site")


def _build_worker(name: str, ip: str, domain: str) -> Instance:
    return Instance(
        instance=InstanceId(name),
        role=InstanceRole.WORKER,
        state=InstanceState.LIVE,
        address=f"{ip}:{WORKER_PORT}",
        domain=DomainId(domain),
        region=REGION,
        rack=RackId(f"{domain}-rack-1"),
        capacity=WORKER_CAPACITY,
    )


def _build_entry(name: str, ip: str, domain: str) -> Instance:
    return Instance(
        instance=InstanceId(name),
        role=InstanceRole.ENTRY,
        state=InstanceState.LIVE,
        address=ip,
        domain=DomainId(domain),
        region=REGION,
    )


def _reap(process: subprocess.Popen[bytes], deadline: float) -> None:
    try:
        process.wait(max(0.1, deadline - time.monotonic()))
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def main() -> int:
    """Run the demonstration; return non-zero if a guarantee was violated."""
    from .demonstration import run_demonstration  # noqa: PLC0415

    parser = argparse.ArgumentParser(prog="python -m standins.site")
    parser.add_argument(
        "--keep", action="store_true", help="keep the site running until Ctrl-C"
    )
    options = parser.parse_args()
    with run_site(domains=["scot-a", "scot-b"]) as site:
        return run_demonstration(site, keep=options.keep)


if __name__ == "__main__":
    sys.exit(main())

"""Runs one stand-in as a process: ``python -m standins.main log|instances|worker``."""

import argparse
import signal
import threading

from plantainhinge.adapters.log_memory import MemoryLog

from .instances import InstancesApplication
from .log import LogApplication
from .worker import Worker, WorkerApplication
from .wsgi import Application, serve

THREADS = 32


def main() -> None:
    """Serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser()
    parser.add_argument("kind", choices=["log", "instances", "worker"])
    parser.add_argument("--name", default="")
    parser.add_argument("--ip", required=True)
    parser.add_argument("--port", type=int, required=True)
    options = parser.parse_args()
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    signal.signal(signal.SIGINT, lambda *_: stopped.set())
    with serve(_build(options, stopped), options.ip, options.port, THREADS):
        stopped.wait()


def _build(options: argparse.Namespace, stopped: threading.Event) -> Application:
    if options.kind == "log":
        return LogApplication(MemoryLog())
    if options.kind == "instances":
        return InstancesApplication()
    worker = Worker(options.name, options.ip)
    threading.Thread(target=worker.run_expiry, args=(stopped,), daemon=True).start()
    return WorkerApplication(worker)


if __name__ == "__main__":
    main()

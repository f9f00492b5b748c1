"""Runs a daemon: its threads, sockets, signals and their clean-up."""

import logging
import signal
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import AbstractContextManager, ExitStack, contextmanager

from ..adapters.callers_http import CallersApplication
from ..adapters.callers_server import serve_callers
from ..adapters.instances_http import HttpInstanceList
from ..adapters.log_http import HttpLog
from ..adapters.metrics_otel import open_metrics
from ..adapters.peers_grpc import Call, Peers
from ..adapters.targets_http import HttpTargetClient
from ..adapters.workers_http import HttpWorkerClient
from ..core.clock import read_monotonic
from ..core.ids import Seconds
from ..core.settings import Settings
from ..core.states import DaemonRole
from ..core.tick import TickLoop
from ..streams.budgets import CALLS_IN_FLIGHT_MAX
from .executor import CallExecutor, TickCallback
from .gateway import Gateway
from .log_driver import LogDriver
from .node import Node
from .scheduler import Scheduler

Tick = Callable[[list[TickCallback], Seconds], None]

TICK_PERIOD_SECONDS = Seconds(0.05)
POOL_THREADS = 16
LINGER_SECONDS = 2.0
DRAIN_POLL_SECONDS = 0.05
STOP_TIMEOUT_SECONDS = 10.0

logger = logging.getLogger(__name__)


@contextmanager
def run_loop(loop: TickLoop[TickCallback], tick: Tick) -> Iterator[None]:
    """Run the tick loop in its own thread until the block ends."""
    thread = threading.Thread(target=loop.run, args=(tick,), name="tick")
    thread.start()
    try:
        yield
    finally:
        loop.stop()
        thread.join()


@contextmanager
def handle_stop_signals() -> Iterator[threading.Event]:
    """Yield an event that SIGTERM or SIGINT sets."""
    stopped = threading.Event()
    previous = {
        number: signal.signal(number, lambda *_: stopped.set())
        for number in (signal.SIGTERM, signal.SIGINT)
    }
    try:
        yield stopped
    finally:
        for number, handler in previous.items():
            signal.signal(number, handler)


def run_gateway(settings: Settings) -> None:
    """Run a gateway until a signal asks it to stop, then drain it."""
    with ExitStack() as stack:
        stopped = stack.enter_context(handle_stop_signals())
        loop: TickLoop[TickCallback] = TickLoop(period=TICK_PERIOD_SECONDS)
        node = _build_node(settings, DaemonRole.GATEWAY, loop, stack)
        gateway = Gateway(node, HttpTargetClient())
        stack.enter_context(_serve_peers(node, loop, gateway.handle_call))
        stack.enter_context(run_loop(loop, gateway.tick))
        application = CallersApplication(gateway)
        limits = settings.callers
        port = settings.ports.callers
        with serve_callers(application, settings.address, port, limits):
            stopped.wait()
            logger.info("planned stop: draining")
            gateway.stop()
        _wait_until(gateway.has_stopped, STOP_TIMEOUT_SECONDS)
        logger.info("planned stop: drained")


def run_scheduler(settings: Settings) -> None:
    """Run a scheduler until a signal asks it to stop, then hand over its streams."""
    with ExitStack() as stack:
        stopped = stack.enter_context(handle_stop_signals())
        loop: TickLoop[TickCallback] = TickLoop(period=TICK_PERIOD_SECONDS)
        node = _build_node(settings, DaemonRole.SCHEDULER, loop, stack)
        scheduler = Scheduler(node, HttpWorkerClient())
        stack.enter_context(_serve_peers(node, loop, scheduler.handle_call))
        stack.enter_context(run_loop(loop, scheduler.tick))
        stopped.wait()
        logger.info("planned stop: handing over")
        _run_in_tick(loop, scheduler.stop)
        _wait_until(scheduler.has_stopped, STOP_TIMEOUT_SECONDS)
        logger.info("planned stop: handed over")
        # Peers keep calling until a heartbeat shows that nothing is owned here. An
        # error response tells them so; a closed connection would leave it uncertain.
        time.sleep(LINGER_SECONDS)


def _serve_peers(
    node: Node,
    loop: TickLoop[TickCallback],
    handle_call: Callable[[Call, Seconds], None],
) -> AbstractContextManager[None]:
    ip, _, port = node.address.rpartition(":")

    def accept(call: Call) -> None:
        loop.post(lambda now: handle_call(call, now))

    return node.peers.serve(ip, int(port), accept)


def _build_node(
    settings: Settings, role: DaemonRole, loop: TickLoop[TickCallback], stack: ExitStack
) -> Node:
    identity = {"instance": settings.instance, "role": role.value}
    endpoint = settings.metrics_endpoint
    metrics = stack.enter_context(open_metrics(endpoint, identity))
    pool = stack.enter_context(ThreadPoolExecutor(POOL_THREADS))
    executor = CallExecutor(loop, pool)
    log_pool = stack.enter_context(ThreadPoolExecutor(CALLS_IN_FLIGHT_MAX))
    log = HttpLog(settings.log_address)
    return Node(
        settings,
        role,
        instances=HttpInstanceList(settings.instance_list_address),
        executor=executor,
        driver=LogDriver(log, CallExecutor(loop, log_pool)),
        peers=Peers(limits=settings.peers),
        metrics=metrics,
    )


def _run_in_tick(loop: TickLoop[TickCallback], function: Callable[[], None]) -> None:
    done = threading.Event()

    def run(now: Seconds) -> None:
        function()
        done.set()

    loop.post(run)
    done.wait()


def _wait_until(condition: Callable[[], bool], seconds: float) -> None:
    deadline = read_monotonic() + seconds
    while read_monotonic() < deadline and not condition():
        time.sleep(DRAIN_POLL_SECONDS)

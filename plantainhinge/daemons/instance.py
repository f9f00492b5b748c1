"""The instance daemon: serves callers, and schedules the cell while it owns it.

Every instance accepts and answers calls about jobs. One of them at a time is elected
owner of the cell and also makes the scheduling decisions.
"""

import asyncio
import logging
import signal
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from ..adapters.metrics_text import TextMetrics
from ..adapters.stream_http_limits import RejectionCause
from ..adapters.stream_http_messages import Handler, HttpReply, HttpRequest
from ..adapters.stream_http_server import HttpServer
from ..core.clock import read_monotonic
from ..core.errors import CorruptRecordError, PlantainhingeError
from ..core.ids import InstanceId, Seconds
from ..core.log_events import write_event
from ..core.metrics import Counter, Level
from ..dispatch.leases import LeaseTerms
from ..fleet.operator import BODY_BYTES_MAX
from ..fleet.protocols import KeyedLog, WorkerCalls
from ..jobs.admission import AdmissionGate
from ..jobs.forwarding import (
    PassedConfigurationQuery,
    PassedDeferral,
    PassedLoadQuery,
    decode_call,
    encode_response,
)
from ..jobs.ownership import build_member_name
from ..jobs.spec_memory import SpecBudget
from . import instance_peers
from .admission import AdmissionControl
from .authentication import Authenticator
from .call_events import PeerCallMalformed
from .cell_runner import CellRunner
from .deferrals import Deferrals
from .instance_limits import (
    JOB_MEMORY_RATIO,
    SPEC_MEMORY_RATIO,
    Listener,
    compute_limits,
)
from .instance_peers import InstancePeers
from .job_service import JobService
from .job_view import JobView
from .operator_view import OperatorView
from .ownership import Ownership
from .ownership_events import OwnershipNotVerified, StandbyBehind
from .process_events import HandoverCutShort, LoopFailed, Started, Stopped, Stopping
from .settings_watch import SettingsWatch
from .signals import handle_reload_signals
from .view_events import LogLost, LogRegained
from .worker_view import WorkerView

logger = logging.getLogger(__name__)

# long-poll wait for operator records
OPERATOR_WAIT_SECONDS = Seconds(1.0)
FAILURE_PAUSE_SECONDS = Seconds(0.2)
# the readiness probe fails once the log has not answered for this long
READY_LOG_SILENCE_SECONDS = Seconds(2.0)
# calls are forwarded once the log has not answered for this long, which is several
# times the response time of a slow log
LOG_LOST_SECONDS = Seconds(1.0)
STANDBY_WAIT_SECONDS = Seconds(1.0)
STANDBY_CHECK_SECONDS = Seconds(0.5)
# how long a view that was read while the cell had no owner is kept
VIEW_RETENTION_SECONDS = Seconds(10.0)
# least time between becoming not ready and closing the callers' server, so that the
# balancer notices
DRAIN_SECONDS = Seconds(2.5)
PROBE_BODY_BYTES_MAX = 1024
METRICS_CONTENT_TYPE = ("Content-Type", "text/plain; version=0.0.4")
CLOSE_TIMEOUT_SECONDS = Seconds(2.0)
# the log may be silent; together they must not take longer than the drain
FLUSH_TIMEOUT_SECONDS = Seconds(1.5)
LEAVE_TIMEOUT_SECONDS = Seconds(1.0)


async def hand_over(runner: CellRunner, ownership: Ownership) -> None:
    """Log what is pending and leave the group, as far as the log answers in time.

    Otherwise the process would be killed with its callers' requests still open. The
    next owner takes over as after a crash then.
    """
    for work, seconds in (
        (runner.flush, FLUSH_TIMEOUT_SECONDS),
        (ownership.leave, LEAVE_TIMEOUT_SECONDS),
    ):
        try:
            async with asyncio.timeout(seconds):
                await work()
        except TimeoutError:
            # what the flush had taken would be acknowledged with the next one
            runner.stop("a planned stop was cut short")
            write_event(logger, HandoverCutShort(waited_s=seconds))


@dataclass(frozen=True, kw_only=True)
class InstanceSettings:
    """Configuration of an instance.

    Parameters
    ----------
    callers_address, ready_address, control_address : str
        ``host:port`` for callers, for the load balancer's readiness probes, and for
        peers and metrics.
    terms : LeaseTerms
        Durations of the leases that the owner grants to workers.
    cores : float
        Available processor cores; the instance with the most should own the cell.
    memory_bytes : int
        Memory that the process may use.
    files : int
        File descriptors that it may have open.
    """

    instance: InstanceId
    callers_address: str
    ready_address: str
    control_address: str
    terms: LeaseTerms
    cores: float = 1.0
    memory_bytes: int = 200_000_000
    files: int = 4096


@dataclass
class Instance:
    """The components of one process and their life cycle.

    Parameters
    ----------
    settings_watch : SettingsWatch, optional
        Reloads the settings file; without it, settings change at a restart only.
    """

    settings: InstanceSettings
    log: KeyedLog
    calls: WorkerCalls
    operator: OperatorView
    workers: WorkerView
    metrics: TextMetrics = field(default_factory=TextMetrics)
    settings_watch: SettingsWatch[Any] | None = None
    draining: bool = False
    _stopping: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.view = JobView(self.log)
        job_bytes_max = int(JOB_MEMORY_RATIO * self.settings.memory_bytes)
        self.runner = CellRunner(
            log=self.log,
            calls=self.calls,
            view=self.view,
            workers=self.workers,
            terms=self.settings.terms,
            operator=self.operator,
            report_fenced=self._drop_ownership,
            check_ownership=self._verify_ownership,
            ask_members=self._ask_members,
            metrics=self.metrics,
            job_bytes_max=job_bytes_max,
        )
        self.ownership = Ownership(
            log=self.log,
            member=build_member_name(
                self.settings.instance,
                uuid.uuid4().hex[:8],
                address=self.settings.control_address,
                cores=self.settings.cores,
            ),
            on_acquired=self.runner.take_over,
            on_lost=self.runner.stop,
            before_release=self.runner.flush,
            is_recovering=self.runner.is_recovering,
        )
        peers = InstancePeers(self.ownership.member, lambda: self.ownership.members)
        self.deferrals = Deferrals(self.ownership, peers, self._measure_log_silence)
        self.admission = AdmissionControl(
            owns_cell=lambda: self.runner.cell is not None,
            measure=self.runner.measure_admission,
            get_owner=lambda: self.ownership.owner,
            peers=peers,
            metrics=self.metrics,
            gate=AdmissionGate(memory_limit=job_bytes_max),
        )
        self.service = JobService(
            log=self.log,
            view=self.view,
            get_configuration=lambda: self.operator.configuration,
            owns_cell=lambda: self.runner.cell is not None,
            is_log_lost=self._is_log_lost,
            get_owner=lambda: self.ownership.owner,
            peers=peers,
            metrics=self.metrics,
            admission=self.admission,
            specs=SpecBudget(int(SPEC_MEMORY_RATIO * self.settings.memory_bytes)),
        )
        self.authenticator = Authenticator(
            self.operator, self._is_log_lost, peers, self.metrics
        )

    async def run(self, handle: Handler) -> None:
        """Serve until SIGTERM or SIGINT, then release the cell and drain calls."""
        with handle_reload_signals(self._reload_settings):
            await self._run(handle)

    async def _run(self, handle: Handler) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        settings = self.settings
        callers = self._build_server(Listener.CALLERS, settings.callers_address, handle)
        callers.get_body_bytes_max = self._get_body_bytes_max
        probes = self._build_server(
            Listener.PROBES, settings.ready_address, self._handle_probe
        )
        probes.get_body_bytes_max = lambda: PROBE_BODY_BYTES_MAX
        peers = self._build_server(
            Listener.PEERS, settings.control_address, self._handle_control_request
        )
        for server in (callers, probes, peers):
            await server.start()
        event = Started(
            address=self.settings.callers_address, cores=self.settings.cores
        )
        write_event(logger, event)
        loops = [
            self._tail_operator,
            self.ownership.run,
            self.ownership.watch,
            self._keep_view,
        ]
        if self.settings_watch is not None:
            loops.append(self.settings_watch.run)
        tasks = [loop.create_task(keep_running(work)) for work in loops]
        await self._stopping.wait()
        await self._stop(callers)
        for task in tasks:
            task.cancel()

    async def _stop(self, callers: HttpServer) -> None:
        self.draining = True
        write_event(logger, Stopping(owner=self.runner.cell is not None))
        started = read_monotonic()
        await hand_over(self.runner, self.ownership)
        elapsed = read_monotonic() - started
        await asyncio.sleep(max(0.0, DRAIN_SECONDS - elapsed))
        await callers.drain(timeout=CLOSE_TIMEOUT_SECONDS)
        write_event(logger, Stopped(took_s=read_monotonic() - started))

    def set_lease_terms(self, terms: LeaseTerms) -> None:
        """Use new terms for all leases granted from now on."""
        self.runner.set_lease_terms(terms)

    def _reload_settings(self) -> None:
        if self.settings_watch is not None:
            self.settings_watch.request_reload()

    async def _tail_operator(self) -> None:
        lost_at: float | None = None
        while True:
            try:
                await self.operator.tail.advance(wait=OPERATOR_WAIT_SECONDS)
                if lost_at is not None:
                    event = LogRegained(
                        lost_s=read_monotonic() - lost_at, epoch=self.ownership.epoch
                    )
                    write_event(logger, event)
                lost_at = None
            except PlantainhingeError as error:
                if lost_at is None:
                    epoch = self.ownership.epoch
                    write_event(logger, LogLost(cause=str(error), epoch=epoch))
                    lost_at = read_monotonic()
                await asyncio.sleep(FAILURE_PAUSE_SECONDS)

    async def _keep_view(self) -> None:
        """Keep the view of jobs current on the standby and empty on the others.

        The owner's cell runner reads its own view. Other instances ask the owner, and
        need a view only while there is none.
        """
        while True:
            if self.ownership.is_standby:
                await self._advance_view()
            elif self.ownership.epoch is None and self.view.loaded:
                await asyncio.sleep(VIEW_RETENTION_SECONDS)
                if self.ownership.epoch is None and not self.ownership.is_standby:
                    self.view.clear()
            else:
                await asyncio.sleep(STANDBY_CHECK_SECONDS)

    async def _advance_view(self) -> None:
        try:
            await asyncio.gather(
                self.view.job_tail.advance(wait=STANDBY_WAIT_SECONDS),
                self.view.progress_tail.advance(wait=STANDBY_WAIT_SECONDS),
            )
        except PlantainhingeError as error:
            write_event(logger, StandbyBehind(cause=str(error)))
            await asyncio.sleep(FAILURE_PAUSE_SECONDS)
        if self.ownership.epoch is None:
            self.view.take_new_records()

    def _build_server(
        self, listener: Listener, address: str, handle: Handler
    ) -> HttpServer:
        def count(cause: RejectionCause) -> None:
            self.metrics.count(
                Counter.REJECTIONS, listener=listener.value, cause=cause.value
            )

        limits = compute_limits(
            listener,
            memory_bytes=self.settings.memory_bytes,
            files=self.settings.files,
        )
        return HttpServer(address, handle, limits=limits, count_rejection=count)

    def _get_body_bytes_max(self) -> int:
        configuration = self.operator.configuration
        return BODY_BYTES_MAX if configuration is None else configuration.body_bytes_max

    async def _handle_probe(self, request: HttpRequest) -> HttpReply:
        return HttpReply(status=200 if self._is_ready() else 503)

    async def _handle_control_request(self, request: HttpRequest) -> HttpReply:
        match request.method, request.path:
            case "GET", "/metrics":
                return self._render_metrics()
            case "POST", instance_peers.PATH:
                return await self._handle_peer_call(request)
        return HttpReply(status=404)

    async def _handle_peer_call(self, request: HttpRequest) -> HttpReply:
        try:
            call = decode_call(request.body)
        except CorruptRecordError as error:
            write_event(logger, PeerCallMalformed(cause=str(error)))
            return HttpReply(status=400)
        match call:
            case PassedConfigurationQuery():
                answer = self.authenticator.describe_configuration(call)
            case PassedLoadQuery():
                answer = self.admission.describe_load()
            case PassedDeferral():
                answer = self.deferrals.grant(call)
            case _:
                answer = await self.service.handle_forwarded_call(call)
        return HttpReply(status=200, body=encode_response(answer))

    def _render_metrics(self) -> HttpReply:
        now = read_monotonic()
        configuration = self.operator.configuration
        if configuration is not None:
            self.metrics.set(Level.CONFIGURATION_REVISION, configuration.revision)
        self.metrics.set(Level.CONFIGURATION_AGE, now - self.operator.tail.synced_at)
        self.metrics.set(Level.LOG_AGE, self._measure_log_silence())
        if self.runner.cell is not None:
            age = self.runner.confirmation.measure_age()
            self.metrics.set(Level.CONFIRMATION_AGE, age)
        return HttpReply(
            status=200, body=self.metrics.render(), headers=(METRICS_CONTENT_TYPE,)
        )

    def _is_ready(self) -> bool:
        return (
            not self.draining
            and self.operator.configuration is not None
            and self._measure_log_silence() < READY_LOG_SILENCE_SECONDS
        )

    def _measure_log_silence(self) -> float:
        """Return the seconds since the log last answered any read or group call."""
        answered_at = max(self.ownership.answered_at, self.operator.tail.synced_at)
        return read_monotonic() - answered_at

    def _is_log_lost(self) -> bool:
        return self._measure_log_silence() > LOG_LOST_SECONDS

    def _drop_ownership(self, reason: str) -> None:
        self.ownership.drop(reason)

    async def _verify_ownership(self) -> bool:
        try:
            return await self.ownership.verify()
        except PlantainhingeError as error:
            write_event(logger, OwnershipNotVerified(cause=str(error)))
            return False

    async def _ask_members(self, confirmed_at: float) -> float:
        return await self.deferrals.request(confirmed_at)


async def keep_running(work: Callable[[], Awaitable[None]]) -> None:
    """Run a loop until it returns; restart it after an exception, which is logged."""
    while True:
        try:
            await work()
        except Exception as error:
            write_event(logger, LoopFailed(loop=work.__name__), error=error)
            await asyncio.sleep(FAILURE_PAUSE_SECONDS)
        else:
            return

"""Common part of gateway and scheduler: configuration, instances, peers, events."""

import math
import random
from collections.abc import Callable
from concurrent.futures import Future

import msgspec

from ..adapters.peers_grpc import (
    FETCH_CONFIGURATION,
    HEARTBEAT,
    QUERY_EVENTS,
    QUERY_STATUS,
    Call,
    Peers,
)
from ..core.clock import read_wall
from ..core.configuration import Configuration
from ..core.errors import PlantainhingeError
from ..core.events import EventList, EventRing
from ..core.ids import (
    DomainId,
    Epoch,
    ProcessId,
    Revision,
    Seconds,
    WriterId,
)
from ..core.messages import (
    CellDigest,
    ConfigurationSnapshot,
    Empty,
    Heartbeat,
    Instance,
    ProcessStatus,
)
from ..core.metrics import Level, Metrics, NullMetrics
from ..core.protocols import InstanceList
from ..core.settings import Settings
from ..core.states import DaemonRole, InstanceRole
from ..membership.peers import JOIN_EXCHANGES, PeerTable
from ..streams.configuration import ConfigurationState
from ..streams.names import CONFIGURATION_STREAM, rank_candidates
from ..streams.replica import Replica
from ..streams.snapshots import decode_snapshot, encode_snapshot
from .executor import CallExecutor
from .log_driver import LogDriver

HEARTBEAT_PERIOD_SECONDS = 1.0
INSTANCE_LIST_PERIOD_SECONDS = 2.0
CONFIGURATION_MAX_AGE_SECONDS = 3.0
CONFIGURATION_READ_PERIOD_SECONDS = 1.0
SNAPSHOT_FETCH_PERIOD_SECONDS = 2.0
SNAPSHOT_WRITERS = 2
HEARTBEAT_TIMEOUT_SECONDS = 1.0
NO_EPOCH = Epoch(0)
MILLISECONDS_PER_SECOND = 1000


class Node:
    """One daemon's view of the site, advanced by ``step`` in each tick.

    Parameters
    ----------
    rng : random.Random
        Chooses the peers for heartbeats and for fetching the configuration.

    Attributes
    ----------
    build_heartbeat : callable
        Returns this process's heartbeat; replaced by the daemon to add its load or
        its streams.
    """

    def __init__(
        self,
        settings: Settings,
        role: DaemonRole,
        *,
        instances: InstanceList,
        executor: CallExecutor,
        driver: LogDriver,
        peers: Peers,
        metrics: Metrics | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self.role = role
        self.incarnation = int(read_wall() * MILLISECONDS_PER_SECOND)
        self.process = ProcessId(f"{settings.instance}/{role.value}/{self.incarnation}")
        self.events = EventRing(self.process)
        self.executor = executor
        self.driver = driver
        self.peers = peers
        peers.events = self.events
        self.metrics: Metrics = metrics or NullMetrics()
        self.leaving = False
        self.peer_table = PeerTable(self.address, self.incarnation)
        self.instances: list[Instance] = []
        self.configuration: Replica[ConfigurationState] = Replica(
            CONFIGURATION_STREAM,
            WriterId(self.process),
            ConfigurationState(),
            read_period=Seconds(CONFIGURATION_READ_PERIOD_SECONDS),
        )
        self.unready_reason = "no configuration yet"
        self.build_heartbeat: Callable[[], Heartbeat] = self.build_base_heartbeat
        self._instance_list = instances
        self._instances_due = Seconds(0.0)
        self._heartbeat_due = Seconds(0.0)
        self._sequence = 0
        self._snapshot_fetch_due = Seconds(0.0)
        self._requested_revision = Revision(0)
        self._random = rng or random.Random()
        self._recorded_revision = Revision(0)

    @property
    def address(self) -> str:
        """Where peers reach this process, as ``ip:port``."""
        ports = self.settings.ports
        gateway = self.role is DaemonRole.GATEWAY
        port = ports.gateway_peers if gateway else ports.scheduler_peers
        return f"{self.settings.address}:{port}"

    @property
    def current_configuration(self) -> Configuration | None:
        """The configuration in force here, or None before the first one was read."""
        return self.configuration.reducer.configuration

    def has_fresh_configuration(self, now: Seconds) -> bool:
        """Return whether the configuration is recent enough to start work."""
        return now < self.configuration_fresh_until()

    def configuration_fresh_until(self) -> Seconds:
        """Return when the configuration becomes too old to start work.

        The result is minus infinity if a newer revision is known or none was read.
        """
        caught_up_at = self.configuration.caught_up_at
        if caught_up_at is None or self._is_outdated():
            return Seconds(-math.inf)
        return Seconds(caught_up_at + CONFIGURATION_MAX_AGE_SECONDS)

    def step(self, now: Seconds) -> None:
        """Poll the log and the instance list, and exchange heartbeats."""
        self._write_snapshots(now)
        self.driver.drive(self.configuration, now, NO_EPOCH)
        self._record_revision()
        self._update_readiness(now)
        self._request_newer_revision()
        if now >= self._snapshot_fetch_due:
            self._snapshot_fetch_due = Seconds(now + SNAPSHOT_FETCH_PERIOD_SECONDS)
            self._fetch_snapshot(now)
        if now >= self._instances_due:
            self._instances_due = Seconds(now + INSTANCE_LIST_PERIOD_SECONDS)
            self.executor.submit(
                self._instance_list.fetch, callback=self._handle_instances
            )
        if now >= self._heartbeat_due:
            self._heartbeat_due = Seconds(now + HEARTBEAT_PERIOD_SECONDS)
            self._send_heartbeats(now)
            self._record_configuration_age(now)

    def handle_call(self, call: Call, now: Seconds) -> bool:
        """Answer a call that every process answers; return False for other calls."""
        if call.method is HEARTBEAT:
            request: Heartbeat = call.request
            response = self._build_partner_heartbeat(
                request.address, request.incarnation, now
            )
            self.peer_table.record_heartbeat(request, now)
            call.response.set_result(response)
        elif call.method is FETCH_CONFIGURATION:
            call.response.set_result(self._build_snapshot())
        elif call.method is QUERY_EVENTS:
            events = self.events.select(call.request.subject)
            call.response.set_result(EventList(events=events))
        elif call.method is QUERY_STATUS:
            call.response.set_result(self.build_status(now))
        else:
            return False
        return True

    def build_status(self, now: Seconds) -> ProcessStatus:
        """Return the status of this process, for operators."""
        caught_up_at = self.configuration.caught_up_at
        return ProcessStatus(
            heartbeat=self.build_heartbeat(),
            configuration_age=None if caught_up_at is None else now - caught_up_at,
            peers=len(self.peer_table.list_live(now)),
            troubles=self._list_problems(now),
        )

    def build_base_heartbeat(self) -> Heartbeat:
        """Return a heartbeat without owned streams and without load."""
        return Heartbeat(
            process=self.process,
            incarnation=self.incarnation,
            role=self.role,
            address=self.address,
            domain=self.settings.domain,
            revision=self.configuration.reducer.running_revision,
            ready=self.is_ready(),
        )

    def is_ready(self) -> bool:
        """Return whether this process is able to serve and not stopping."""
        return not self.unready_reason and not self.leaving

    def collect_cells(self, now: Seconds) -> dict[DomainId, CellDigest]:
        """Return the digests of cells from the heartbeats of their live owners."""
        return {
            digest.domain: digest
            for heartbeat in self.peer_table.list_live(now)
            for digest in heartbeat.cells
        }

    def _is_outdated(self) -> bool:
        """Return whether a revision newer than the one in force is known."""
        state = self.configuration.reducer
        newest = max(state.revision, self.peer_table.find_newest_revision())
        return state.running_revision < newest

    def _request_newer_revision(self) -> None:
        """Request one immediate read of the log for each newer revision at a peer."""
        newest = self.peer_table.find_newest_revision()
        if newest > max(self._requested_revision, self.configuration.reducer.revision):
            self._requested_revision = newest
            self.configuration.request_read()

    def _update_readiness(self, now: Seconds) -> None:
        unready = self._find_unready_reason(now)
        if unready != self.unready_reason:
            self.unready_reason = unready
            self.events.add("readiness.changed", "config", unready=unready)

    def _find_unready_reason(self, now: Seconds) -> str:
        replica = self.configuration
        caught_up_at = replica.caught_up_at
        has_recent_read = (
            caught_up_at is not None
            and now < caught_up_at + CONFIGURATION_MAX_AGE_SECONDS
        )
        state = replica.reducer
        if replica.halt_error is not None:
            return replica.halt_error.message
        if state.unsupported_reason:
            return f"revision {state.revision}: {state.unsupported_reason}"
        if replica.is_lost:
            return "the configuration is no longer in the log"
        if state.configuration is None:
            return "no configuration yet"
        if self._is_outdated() and not has_recent_read:
            newest = self.peer_table.find_newest_revision()
            return f"revision {state.running_revision} runs here, {newest} at a peer"
        return ""

    def _write_snapshots(self, now: Seconds) -> None:
        """Write snapshots of the configuration; concurrent duplicates are harmless."""
        if self.role is not DaemonRole.SCHEDULER:
            return
        live = list({self.process, *self.peer_table.list_schedulers(now)})
        rank = rank_candidates(CONFIGURATION_STREAM, live).index(self.process)
        if rank < SNAPSHOT_WRITERS:
            self.configuration.take_snapshot(now)

    def _fetch_snapshot(self, now: Seconds) -> None:
        """Fetch the configuration from a peer if the log does not provide it."""
        replica = self.configuration
        if self.has_fresh_configuration(now) or replica.halt_error is not None:
            return
        wanted = Revision(replica.reducer.revision + 1)
        addresses = self.peer_table.list_addresses_at_revision(wanted)
        if addresses:
            future = self.peers.call(
                self._random.choice(addresses), FETCH_CONFIGURATION, Empty()
            )
            self.executor.add_callback(future, callback=self._handle_snapshot)

    def _build_snapshot(self) -> ConfigurationSnapshot:
        if not self.configuration.reducer.revision:
            return ConfigurationSnapshot(state=b"")
        return ConfigurationSnapshot(
            state=encode_snapshot(self.configuration.capture())
        )

    def _handle_snapshot(
        self, future: Future[ConfigurationSnapshot], now: Seconds
    ) -> None:
        if future.exception() is not None or not future.result().state:
            return
        snapshot = decode_snapshot(future.result().state)
        if snapshot is not None and self.configuration.adopt(snapshot, now):
            self._record_revision()

    def _list_problems(self, now: Seconds) -> list[str]:
        problems = []
        if self.leaving:
            problems.append("stops as planned")
        if self.unready_reason:
            problems.append(f"is not ready: {self.unready_reason}")
        elif not self.has_fresh_configuration(now):
            problems.append("starts nothing: its view of the configuration is old")
        if self.driver.failure is not None:
            problems.append(str(self.driver.failure))
        if not self.instances:
            problems.append("has no list of instances")
        return problems

    def _record_configuration_age(self, now: Seconds) -> None:
        caught_up_at = self.configuration.caught_up_at
        if caught_up_at is not None:
            self.metrics.set(Level.CONFIGURATION_AGE, now - caught_up_at)

    def _record_revision(self) -> None:
        revision = self.configuration.reducer.running_revision
        if revision != self._recorded_revision:
            self._recorded_revision = revision
            self.events.add("configuration.in-force", "config", revision=str(revision))

    def _handle_instances(self, future: Future[list[Instance]], now: Seconds) -> None:
        try:
            instances = future.result()
        except PlantainhingeError:
            self.events.add("instances.unavailable", "instances")
            return
        self.instances = instances

    def _send_heartbeats(self, now: Seconds) -> None:
        self.peer_table.expire(now)
        self._sequence += 1
        draws = [self._random.random() for _ in range(JOIN_EXCHANGES)]
        for address in self.peer_table.choose_partners(self._list_addresses(), draws):
            row = self.peer_table.rows.get(address)
            incarnation = row.heartbeat.incarnation if row else 0
            self._send_heartbeat(
                address, self._build_partner_heartbeat(address, incarnation, now)
            )
        self.peer_table.record_heartbeat(
            self._build_partner_heartbeat(self.address, 0, now), now
        )

    def _list_addresses(self) -> list[str]:
        ports = self.settings.ports
        return [
            f"{row.address}:{port}"
            for row in self.instances
            if row.role is InstanceRole.ENTRY
            for port in (ports.gateway_peers, ports.scheduler_peers)
        ]

    def _build_partner_heartbeat(
        self, partner: str, incarnation: int, now: Seconds
    ) -> Heartbeat:
        caught_up_at = self.configuration.caught_up_at
        relays = []
        if partner != self.address:
            relays = self.peer_table.choose_relays(partner, incarnation, now)
        return msgspec.structs.replace(
            self.build_heartbeat(),
            incarnation=self.peer_table.incarnation,
            sequence=self._sequence,
            configuration_age=None
            if caught_up_at is None
            else round(now - caught_up_at, 3),
            unready_reason=self.unready_reason,
            relays=relays,
        )

    def _send_heartbeat(self, address: str, heartbeat: Heartbeat) -> None:
        future = self.peers.call(
            address, HEARTBEAT, heartbeat, timeout=HEARTBEAT_TIMEOUT_SECONDS
        )

        def handle_result(done: Future[Heartbeat], now: Seconds) -> None:
            if done.exception() is None:
                self.peer_table.record_heartbeat(done.result(), now)
            else:
                self.peer_table.record_no_answer(address, now)

        self.executor.add_callback(future, callback=handle_result)

"""What both daemons share: configuration, instance list, peers and events."""

import math
from collections.abc import Callable
from concurrent.futures import Future

from ..adapters.peers_grpc import HEARTBEAT, QUERY_EVENTS, QUERY_STATUS, Call, Peers
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
from ..core.messages import CellDigest, Empty, Heartbeat, Instance, ProcessStatus
from ..core.metrics import Level, Metrics, NoMetrics
from ..core.protocols import InstanceList
from ..core.settings import Settings
from ..core.states import DaemonRole, InstanceRole
from ..membership.peers import PeerTable
from ..streams.configuration import ConfigurationState
from ..streams.names import CONFIGURATION
from ..streams.replica import Replica
from .executor import Commander
from .log_driver import LogDriver

HEARTBEAT_PERIOD_SECONDS = 1.0
INSTANCES_PERIOD_SECONDS = 2.0
CONFIGURATION_FRESH_SECONDS = 3.0
HEARTBEAT_TIMEOUT_SECONDS = 1.0
NO_EPOCH = Epoch(0)
MILLISECONDS = 1000


class Node:
    """One daemon's view of the site, advanced by ``step`` in each tick.

    Parameters
    ----------
    describe : callable
        Returns this process's heartbeat.
    """

    def __init__(
        self,
        settings: Settings,
        role: DaemonRole,
        *,
        instances: InstanceList,
        commander: Commander,
        driver: LogDriver,
        peers: Peers,
        metrics: Metrics | None = None,
    ) -> None:
        self.settings = settings
        self.role = role
        self.incarnation = int(read_wall() * MILLISECONDS)
        self.process = ProcessId(f"{settings.instance}/{role.value}/{self.incarnation}")
        self.events = EventRing(self.process)
        self.commander = commander
        self.driver = driver
        self.peers = peers
        peers.events = self.events
        self.metrics: Metrics = metrics or NoMetrics()
        self.leaving = False
        self.table = PeerTable()
        self.instances: list[Instance] = []
        self.configuration: Replica[ConfigurationState] = Replica(
            CONFIGURATION, WriterId(self.process), ConfigurationState()
        )
        self.describe: Callable[[], Heartbeat] = self.describe_alone
        self._instance_list = instances
        self._instances_due = Seconds(0.0)
        self._heartbeat_due = Seconds(0.0)
        self._revision_seen = Revision(0)

    @property
    def address(self) -> str:
        """Where peers reach this process, as ``ip:port``."""
        ports = self.settings.ports
        gateway = self.role is DaemonRole.GATEWAY
        port = ports.gateway_peers if gateway else ports.scheduler_peers
        return f"{self.settings.address}:{port}"

    @property
    def current(self) -> Configuration | None:
        """The configuration in force here; None before the first."""
        return self.configuration.reducer.configuration

    def is_fresh(self, now: Seconds) -> bool:
        """Return whether the view of the configuration is recent enough to start."""
        return now < self.fresh_until()

    def fresh_until(self) -> Seconds:
        """Return when the view of the configuration becomes too old to start."""
        confirmed = self.configuration.caught_up_at
        if confirmed is None:
            return Seconds(-math.inf)
        return Seconds(confirmed + CONFIGURATION_FRESH_SECONDS)

    def step(self, now: Seconds) -> None:
        """Poll the log and the instance list, and exchange heartbeats."""
        self.driver.drive(self.configuration, now, NO_EPOCH)
        self._note_revision()
        if now >= self._instances_due:
            self._instances_due = Seconds(now + INSTANCES_PERIOD_SECONDS)
            self.commander.run(self._instance_list.fetch, then=self._take_instances)
        if now >= self._heartbeat_due:
            self._heartbeat_due = Seconds(now + HEARTBEAT_PERIOD_SECONDS)
            self._send_heartbeats(now)
            self._measure_age(now)

    def answer(self, call: Call, now: Seconds) -> bool:
        """Answer a call that any process answers; return whether it was one."""
        if call.method is HEARTBEAT:
            self.table.note(call.request, now)
            call.answer.set_result(self.describe())
        elif call.method is QUERY_EVENTS:
            events = self.events.select(call.request.subject)
            call.answer.set_result(EventList(events=events))
        elif call.method is QUERY_STATUS:
            call.answer.set_result(self.describe_status(now))
        else:
            return False
        return True

    def describe_status(self, now: Seconds) -> ProcessStatus:
        """Return how this process fares, for operators."""
        confirmed = self.configuration.caught_up_at
        return ProcessStatus(
            heartbeat=self.describe(),
            configuration_age=None if confirmed is None else now - confirmed,
            peers=len(self.table.list_live(now)),
            troubles=self._list_troubles(now),
        )

    def describe_alone(self) -> Heartbeat:
        """Return a heartbeat with nothing owned and no load."""
        return Heartbeat(
            process=self.process,
            incarnation=self.incarnation,
            role=self.role,
            address=self.address,
            domain=self.settings.domain,
            revision=self.configuration.reducer.revision,
            ready=self.current is not None and not self.leaving,
        )

    def collect_cells(self, now: Seconds) -> dict[DomainId, CellDigest]:
        """Return what live peers say of the cells they own."""
        return {
            digest.domain: digest
            for heartbeat in self.table.list_live(now)
            for digest in heartbeat.cells
        }

    def _list_troubles(self, now: Seconds) -> list[str]:
        troubles = []
        if self.leaving:
            troubles.append("stops as planned")
        if self.current is None:
            troubles.append("has no configuration")
        elif not self.is_fresh(now):
            troubles.append("starts nothing: its view of the configuration is old")
        if self.driver.failure is not None:
            troubles.append(str(self.driver.failure))
        if not self.instances:
            troubles.append("has no list of instances")
        return troubles

    def _measure_age(self, now: Seconds) -> None:
        confirmed = self.configuration.caught_up_at
        if confirmed is not None:
            self.metrics.set(Level.CONFIGURATION_AGE, now - confirmed)

    def _note_revision(self) -> None:
        revision = self.configuration.reducer.revision
        if revision != self._revision_seen:
            self._revision_seen = revision
            self.events.add("configuration.in-force", "config", revision=str(revision))

    def _take_instances(self, future: Future[list[Instance]], now: Seconds) -> None:
        try:
            listed = future.result()
        except PlantainhingeError:
            self.events.add("instances.unavailable", "instances")
            return
        self.instances = listed

    def _send_heartbeats(self, now: Seconds) -> None:
        heartbeat = self.describe()
        self.table.note(heartbeat, now)
        ports = self.settings.ports
        for row in self.instances:
            if row.role is not InstanceRole.ENTRY:
                continue
            for port in (ports.gateway_peers, ports.scheduler_peers):
                address = f"{row.address}:{port}"
                if address != self.address:
                    self._send_heartbeat(address, heartbeat)

    def _send_heartbeat(self, address: str, heartbeat: Heartbeat) -> None:
        future = self.peers.call(
            address, HEARTBEAT, heartbeat, timeout=HEARTBEAT_TIMEOUT_SECONDS
        )
        self.commander.follow(future, then=self._take_heartbeat)

    def _take_heartbeat(self, future: Future[Heartbeat], now: Seconds) -> None:
        if future.exception() is None:
            self.table.note(future.result(), now)


def answer_empty(call: Call) -> None:
    """Answer a call that has nothing to say but that it arrived."""
    call.answer.set_result(Empty())

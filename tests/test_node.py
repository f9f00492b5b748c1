"""Rollout of configurations: which revision a daemon runs, and its readiness."""

from concurrent.futures import Future
from random import Random

import pytest
from hypothesis import given, settings, strategies as st

from plantainhinge.adapters.log_memory import MemoryLog
from plantainhinge.adapters.peers_grpc import HEARTBEAT, Call
from plantainhinge.cli.apply import ConfigurationSession, apply_configuration
from plantainhinge.core.errors import PlantainhingeError, UnavailableError
from plantainhinge.core.ids import Epoch, Offset, Seconds, Sequence, WriterId
from plantainhinge.core.messages import Instance
from plantainhinge.core.records import (
    RECORD_VERSION,
    Batch,
    ConfigurationPublished,
    encode_batch,
)
from plantainhinge.core.settings import Settings
from plantainhinge.core.states import DaemonRole, InstanceRole, InstanceState
from plantainhinge.daemons.log_driver import LogDriver
from plantainhinge.daemons.node import Node
from plantainhinge.streams.configuration import ConfigurationState
from plantainhinge.streams.names import CONFIGURATION_STREAM
from plantainhinge.streams.replica import Replica
from plantainhinge.streams.snapshots import SNAPSHOT_PERIOD_SECONDS
from standins.log_faults import FaultRule, FaultyLog, LogFault

from .test_documents import TEXT

NAMES = ["a", "b", "c"]
TICK = 0.25


class Process:
    """A node whose calls are executed in the next step."""

    def __init__(self, site, name):
        self.site, self.name = site, name
        self.calls, self.inbox, self.revisions_run = [], [], []
        site.count += 1
        own = Settings(
            instance=name,
            address=f"127.0.0.{1 + NAMES.index(name)}",
            domain="d",
            region="r",
            log_address="",
            instance_list_address="",
        )
        draws = Random(site.count)
        self.node = Node(
            own,
            DaemonRole.SCHEDULER,
            instances=site,
            executor=self,
            driver=LogDriver(site.log, self, draw=draws.random),
            peers=self,
            rng=draws,
        )
        self.node.configuration.snapshot_period = site.snapshot_period

    def submit(self, function, *arguments, callback):
        self.calls.append((function, arguments, callback))

    def add_callback(self, future, *, callback):
        future.add_done_callback(
            lambda done: self.inbox.append(lambda now: callback(done, now))
        )

    def call(self, address, method, request, *, timeout=2.0):
        answer = Future()
        other = self.site.find(address)
        if other is None or {self.name, other.name} & self.site.cut:
            answer.set_exception(UnavailableError("cut", step="peer"))
        else:
            other.node.handle_call(Call(method, request, answer), self.site.now)
        return answer

    def step(self):
        calls, self.calls = self.calls, []
        for function, arguments, callback in calls:
            future = Future()
            self.add_callback(future, callback=callback)
            try:
                future.set_result(function(*arguments))
            except PlantainhingeError as error:
                future.set_exception(error)
        inbox, self.inbox = self.inbox, []
        for event in inbox:
            event(self.site.now)
        self.node.step(self.site.now)
        state = self.node.configuration.reducer
        if state.running_revision and (
            not self.revisions_run
            or self.revisions_run[-1][0] != state.running_revision
        ):
            self.revisions_run.append((state.running_revision, state.configuration))


class Site:
    def __init__(self, snapshot_period=SNAPSHOT_PERIOD_SECONDS):
        self.snapshot_period = snapshot_period
        self.now = Seconds(100.0)
        self.memory = MemoryLog()
        self.log = FaultyLog(self.memory, clock=lambda: self.now, sleep=lambda _: None)
        self.count = 0
        self.cut = set()
        self.accepted = {}
        self.processes = {name: Process(self, name) for name in NAMES}
        self.started = list(self.processes.values())

    def find(self, address):
        rows = self.processes.values()
        return next((p for p in rows if p.node.address == address), None)

    def fetch(self):
        return [
            Instance(
                instance=name,
                role=InstanceRole.ENTRY,
                state=InstanceState.LIVE,
                address=f"127.0.0.{1 + NAMES.index(name)}",
                domain="d",
                region="r",
            )
            for name in NAMES
        ]

    def publish(self, replicas):
        document = TEXT.replace('"replicas": 2', f'"replicas": {replicas}')
        session = ConfigurationSession(
            self.memory, WriterId(f"op{self.count}/{replicas}"), sleep=lambda _: None
        )
        applied = apply_configuration(session, document, operator="op")
        state = session.state
        self.accepted[applied.revision] = state.configuration

    def trim_to_snapshot(self):
        """Trim the log up to the newest snapshot in it, as retention would."""
        reader = Replica(CONFIGURATION_STREAM, WriterId("reader"), ConfigurationState())
        while reader._search is not None:
            command = reader.next_command(self.now, Epoch(0))
            page = self.memory.read(command.stream, command.start, 2**20)
            reader.on_page(page, self.now)
        self.memory.trim(CONFIGURATION_STREAM, reader.next_offset)

    def break_log(self):
        self.log.faults = [FaultRule(fault=LogFault.REFUSE)]

    def restart(self, name):
        self.processes[name] = Process(self, name)
        self.started.append(self.processes[name])

    def advance(self, seconds):
        for _ in range(int(seconds / TICK)):
            self.now = Seconds(self.now + TICK)
            for process in list(self.processes.values()):
                process.step()

    def node(self, name):
        return self.processes[name].node


@pytest.fixture
def site():
    site = Site()
    site.publish(1)
    site.advance(10)
    return site


def append(site, record, version=RECORD_VERSION):
    batch = Batch(version, WriterId("tool"), Sequence(1), Epoch(0), [record])
    site.memory.append(CONFIGURATION_STREAM, encode_batch(batch))


def test_change_takes_effect_everywhere_within_seconds(site):
    site.publish(2)
    site.advance(3)
    for name in NAMES:
        assert site.node(name).configuration.reducer.running_revision == 2
        assert site.node(name).is_ready()
        assert site.node(name).has_fresh_configuration(site.now)


def test_daemon_restarted_in_a_log_outage_fetches_configuration_from_peers(site):
    site.break_log()
    site.advance(30 * 60)
    site.restart("b")
    assert not site.node("b").is_ready()
    site.advance(10)
    assert site.node("b").configuration.reducer.running_revision == 1
    assert site.node("b").is_ready()
    assert not site.node("b").has_fresh_configuration(site.now)
    site.log.faults = []
    site.advance(15)
    assert site.node("b").has_fresh_configuration(site.now)


def test_isolated_daemon_in_a_log_outage_is_unready_with_a_reason(site):
    site.break_log()
    site.cut = {"b"}
    site.restart("b")
    site.advance(10)
    assert not site.node("b").is_ready()
    assert site.node("b").unready_reason == "no configuration yet"


def test_daemon_behind_its_peers_is_neither_ready_nor_fresh(site):
    site.node("a").driver._log = FaultyLog(
        site.memory, clock=lambda: site.now, sleep=lambda _: None
    )
    site.node("a").driver._log.faults = [FaultRule(fault=LogFault.REFUSE)]
    site.node("a")._fetch_snapshot = lambda now: None
    site.publish(2)
    site.advance(10)
    assert site.node("b").is_ready()
    assert site.node("a").unready_reason == "revision 1 runs here, 2 at a peer"
    assert not site.node("a").is_ready()


def test_lagging_read_replica_makes_a_daemon_stale_once_a_peer_is_ahead(site):
    lagging = FaultyLog(site.memory, clock=lambda: site.now, sleep=lambda _: None)
    lagging.faults = [FaultRule(fault=LogFault.READ_BEHIND)]
    site.node("a").driver._log = lagging
    site.node("a")._fetch_snapshot = lambda now: None
    site.publish(2)
    site.advance(3)
    assert not site.node("a").has_fresh_configuration(site.now)


def test_daemon_paused_for_a_minute_is_not_fresh(site):
    paused = site.processes.pop("a")
    site.publish(2)
    site.advance(60)
    assert not paused.node.has_fresh_configuration(site.now)


@pytest.mark.parametrize("document", ['{"schema": 9}', '{"schema": 2, "x": [1]}'])
def test_unsupported_schema_keeps_the_previous_revision_and_is_unready(site, document):
    append(site, ConfigurationPublished(document, 1, "op"))
    site.advance(5)
    node = site.node("a")
    assert node.configuration.reducer.running_revision == 1
    assert node.configuration.reducer.revision == 2
    assert "schema" in node.unready_reason
    assert not node.is_ready()
    assert not node.has_fresh_configuration(site.now)
    assert node.build_base_heartbeat().revision == 1


def test_unsupported_record_version_is_reported_and_not_skipped(site):
    append(site, ConfigurationPublished(TEXT, 1, "op"), RECORD_VERSION + 1)
    site.advance(5)
    assert "record version" in site.node("a").unready_reason
    assert site.node("a").configuration.reducer.running_revision == 1


def test_another_scheduler_writes_snapshots_after_the_writer_dies(site):
    for process in site.processes.values():
        process.node.configuration.snapshot_period = Seconds(20.0)
    site.advance(30)
    del site.processes["a"]
    site.advance(60)
    site.memory.trim(CONFIGURATION_STREAM, Offset(1))
    site.restart("a")
    site.advance(10)
    assert site.node("a").configuration.reducer.running_revision == 1
    assert site.node("a").is_ready()


def test_trimmed_configuration_is_fetched_from_peers(site):
    site.publish(2)
    site.advance(3)
    site.memory.trim(CONFIGURATION_STREAM, Offset(2))
    site.restart("c")
    site.advance(10)
    assert site.node("c").configuration.reducer.running_revision == 2
    assert site.node("c").has_fresh_configuration(site.now)


def test_heartbeat_reports_revision_age_and_unready_reason(site):
    site.break_log()
    site.advance(8)
    answer = Future()
    heartbeat = site.node("b")._build_partner_heartbeat("x", 0, site.now)
    site.node("a").handle_call(Call(HEARTBEAT, heartbeat, answer), site.now)
    assert answer.result().revision == 1
    assert answer.result().configuration_age >= 7
    assert answer.result().unready_reason == ""


FAULTS = [LogFault.REFUSE, LogFault.LOSE_RESPONSE, LogFault.READ_BEHIND]
STEPS = st.one_of(
    st.tuples(st.just("publish"), st.integers(0, 2)),
    st.tuples(st.just("restart"), st.sampled_from(NAMES)),
    st.tuples(st.just("cut"), st.sampled_from(NAMES)),
    st.tuples(st.just("fault"), st.sampled_from(FAULTS)),
    st.tuples(st.just("trim"), st.none()),
    st.tuples(st.just("advance"), st.integers(1, 20)),
)


def apply_step(site, verb, value):
    match verb:
        case "publish":
            site.count += 1
            site.publish(value)
        case "restart":
            site.restart(value)
        case "cut":
            site.cut ^= {value}
        case "fault":
            site.log.faults = [FaultRule(fault=value, calls=9)]
        case "trim":
            site.trim_to_snapshot()
        case "advance":
            site.advance(value)


@settings(max_examples=40)
@given(st.lists(STEPS, max_size=20))
def test_revisions_increase_and_match_accepted_documents(steps):
    site = Site(snapshot_period=5.0)
    site.publish(1)
    for verb, value in steps:
        apply_step(site, verb, value)
    site.cut, site.log.faults = set(), []
    site.advance(20)
    for process in site.started:
        revisions = [revision for revision, _ in process.revisions_run]
        assert revisions == sorted(set(revisions))
        for revision, configuration in process.revisions_run:
            assert site.accepted[revision] == configuration
    for process in site.processes.values():
        assert process.revisions_run[-1][0] == max(site.accepted)
        assert process.node.is_ready()

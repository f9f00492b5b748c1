"""The gateway as callers and peers see it, with fakes at its interfaces."""

import time
from concurrent.futures import Future

import pytest

from plantainhinge.adapters.callers_http import CallersApplication
from plantainhinge.adapters.log_memory import MemoryLog
from plantainhinge.core.calls import CallerRequest
from plantainhinge.core.claims import CLAIM_WINDOW_SECONDS
from plantainhinge.core.configuration import Configuration, Domain, Kind, Service, Team
from plantainhinge.core.errors import UnavailableError
from plantainhinge.core.messages import Heartbeat
from plantainhinge.core.settings import Settings
from plantainhinge.core.states import DaemonRole, Outcome, TaskClass
from plantainhinge.daemons.gateway import Gateway
from plantainhinge.daemons.log_driver import LogDriver
from plantainhinge.daemons.node import Node
from plantainhinge.routing.claims import CLOCK_SKEW_SECONDS
from plantainhinge.routing.plans import CONFIRMATION_AGE_SECONDS_MAX
from standins.keys import make_key

from .fakes import Clock, FakeTargets
from .harness import FakeExecutor
from .test_request_runner import list_targets

CONFIGURATION = Configuration(
    schema=1,
    domains={"d": Domain(region="r")},
    teams={"t": Team(quota={})},
    services={"s": Service(team="t", replicas=3, task={})},
    kinds={
        "lookup": Kind(team="t", task_class=TaskClass.LATENCY_CRITICAL, service="s"),
        "sync": Kind(team="t", task_class=TaskClass.BATCH, service="s"),
        "purchase": Kind(
            team="t",
            task_class=TaskClass.LATENCY_CRITICAL,
            service="s",
            idempotent=False,
        ),
        "audit": Kind(team="t", task_class=TaskClass.BATCH),
    },
)


class UnreachablePeers:
    """Peers of which none can be reached."""

    def call(self, address, method, request, *, timeout=0.0):
        future = Future()
        error = UnavailableError("nobody answers", step="peer.call", peer=address)
        future.set_exception(error)
        return future


class EmptyInstanceList:
    """An instance list without entries."""

    def fetch(self):
        return []


class GatewayFixture:
    """One gateway that knows three targets."""

    def __init__(self):
        self.inbox, self.dead = [], False
        self.executor = FakeExecutor(self)
        settings = Settings(
            instance="entry-1",
            address="127.0.0.1",
            domain="d",
            region="r",
            log_address="127.0.0.1:1",
            instance_list_address="127.0.0.1:1",
        )
        self.node = Node(
            settings,
            DaemonRole.GATEWAY,
            instances=EmptyInstanceList(),
            executor=self.executor,
            driver=LogDriver(MemoryLog(), self.executor),
            peers=UnreachablePeers(),
        )
        self.targets = FakeTargets(Clock())
        self.gateway = Gateway(self.node, self.targets)
        self.gateway.permits.table.replace("s", "d", list_targets(3), now=0.0)

    def configure(self):
        self.node.configuration.reducer.configuration = CONFIGURATION
        self.tick()
        return self

    def tick(self, now=None):
        self.executor.execute()
        events, self.inbox = self.inbox, []
        self.gateway.tick(events, time.monotonic() if now is None else now)

    def tick_for(self, now, seconds):
        """Tick twice a second; return the time after ``seconds``."""
        for number in range(int(seconds * 2)):
            self.tick(now + number / 2)
        return now + seconds

    def handle(self, kind="lookup", key=None):
        return self.gateway.handle(
            CallerRequest(
                request="r1", kind=kind, method="GET", path="/", body=b"", key=key
            )
        )


@pytest.fixture
def entry():
    return GatewayFixture().configure()


def test_nothing_is_routed_before_a_configuration_is_known():
    entry = GatewayFixture()
    entry.tick()
    answer = entry.handle()
    assert (answer.status, answer.outcome) == (503, Outcome.NOT_RUN)
    assert answer.retry_after >= 1.0
    assert not entry.gateway.is_ready()


@pytest.mark.parametrize(
    ("kind", "age", "status", "outcome"),
    [
        ("lookup", None, 200, "done"),
        ("sync", None, 200, "done"),
        ("audit", None, 400, "not-run"),
        ("nothing", None, 400, "not-run"),
        ("purchase", None, 400, "not-run"),
        ("purchase", 0.0, 503, "not-run"),
        ("purchase", CLAIM_WINDOW_SECONDS + 9.0, 410, "unknown"),
        ("purchase", -CLOCK_SKEW_SECONDS - 9.0, 400, "unknown"),
    ],
)
def test_response_depends_on_kind_and_key_age(entry, kind, age, status, outcome):
    key = None if age is None else make_key(time.time() - age)
    answer = entry.handle(kind, key)
    assert (answer.status, answer.outcome) == (status, Outcome(outcome))
    assert len(entry.targets.sent) == (outcome == "done")
    names = [event.name for event in entry.node.events.select("r1")]
    assert names[0] == "request.received"
    assert names[-1] == "request.answered"


def test_one_kind_leaves_threads_to_the_others(entry):
    permits = entry.gateway.permits
    while permits.acquire_thread("sync", TaskClass.BATCH):
        pass
    refused = entry.handle("sync")
    assert (refused.status, refused.outcome) == (503, Outcome.NOT_RUN)
    assert refused.retry_after >= 1.0
    assert entry.handle("lookup").outcome is Outcome.DONE


def test_gateway_with_an_outdated_revision_routes_nothing(entry):
    assert entry.handle().outcome is Outcome.DONE
    ahead = Heartbeat(
        process="other",
        incarnation=1,
        role=DaemonRole.GATEWAY,
        address="127.0.0.9:1",
        domain="d",
        revision=entry.node.configuration.reducer.revision + 1,
        ready=True,
    )
    entry.node.driver.drive = lambda *_, **__: None
    now = entry.tick_for(time.monotonic(), 6.0)
    assert entry.handle().outcome is Outcome.DONE
    entry.node.peer_table.record_heartbeat(ahead, now)
    entry.tick(now)
    assert entry.handle().outcome is Outcome.NOT_RUN
    assert not entry.gateway.is_ready()


def test_gateway_resumed_after_a_pause_routes_nothing_until_it_confirms(entry):
    entry.node.driver.drive = lambda *_, **__: None
    resumed_at = time.monotonic() + 10.0
    entry.tick(resumed_at)
    assert entry.handle().outcome is Outcome.NOT_RUN
    entry.node.configuration.caught_up_at = resumed_at + 0.1
    entry.tick(resumed_at + 0.2)
    assert entry.handle().outcome is Outcome.DONE


def test_gateway_resumed_while_the_log_is_down_routes_again(entry):
    entry.node.driver.drive = lambda *_, **__: None
    resumed_at = time.monotonic() + 10.0
    entry.tick(resumed_at)
    entry.tick_for(resumed_at, CONFIRMATION_AGE_SECONDS_MAX + 1.0)
    assert entry.handle().outcome is Outcome.DONE


def test_plan_from_before_a_pause_grants_no_permit(entry):
    permits, now = entry.gateway.permits, time.monotonic()
    row = permits.try_acquire("s", TaskClass.LATENCY_CRITICAL, set(), now=now)
    assert row is not None
    later = now + 10.0
    assert not permits.try_acquire("s", TaskClass.LATENCY_CRITICAL, set(), now=later)


def test_heartbeat_reports_the_load(entry):
    for _ in range(5):
        entry.handle()
    (digest,) = entry.gateway.build_heartbeat().loads
    assert digest.service == "s"
    assert digest.arrivals_per_second > 0.0
    assert digest.in_flight == 0


def test_stopping_gateway_is_unready_but_still_answers(entry):
    entry.gateway.stop()
    assert not entry.gateway.is_ready()
    assert not entry.gateway.build_heartbeat().ready
    assert entry.handle().outcome is Outcome.DONE


def test_internal_error_leaves_the_outcome_unknown(entry):
    def fail(request):
        raise KeyError("internal error")

    entry.gateway.handle = fail
    response = {}

    def start_response(status, headers):
        response.update(headers, status=status)

    environ = {
        "PATH_INFO": "/x",
        "REQUEST_METHOD": "GET",
        "HTTP_PLANTAINHINGE_KIND": "lookup",
        "wsgi.input": _Empty(),
    }
    CallersApplication(entry.gateway)(environ, start_response)
    assert response["status"].startswith("500")
    assert response["Plantainhinge-Outcome"] == "unknown"


class _Empty:
    def read(self):
        return b""

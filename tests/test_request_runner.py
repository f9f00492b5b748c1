"""RequestRunner with scripted faults of fake targets and a fake ledger."""

import pytest
from hypothesis import given, strategies as st

from plantainhinge.core.calls import CallerRequest
from plantainhinge.core.configuration import Kind
from plantainhinge.core.errors import UnavailableError, UncertainError
from plantainhinge.core.messages import Target
from plantainhinge.core.states import Outcome, TaskClass
from plantainhinge.daemons.permits import PermitPool
from plantainhinge.daemons.request_runner import RequestRunner, RunnerDependencies
from plantainhinge.routing.plans import ServicePlan
from plantainhinge.routing.policy import build_policy
from plantainhinge.routing.targets import TargetTable

from .fakes import Behaviour, Clock, FakeLedger, FakeTargets

DEADLINE = 1.0
LOOKUP = Kind(team="t", task_class=TaskClass.LATENCY_CRITICAL, service="s")
PURCHASE = Kind(
    team="t", task_class=TaskClass.LATENCY_CRITICAL, service="s", idempotent=False
)
AUDIT = Kind(team="t", task_class=TaskClass.BATCH, service="s")


def list_targets(count):
    return [
        Target(
            target=f"t{number}",
            service="s",
            address=f"a{number}",
            domain="d",
            rack="r",
            worker=f"w{number}",
        )
        for number in range(count)
    ]


class RequestPath:
    """The request path of one gateway, with fake targets and a fake ledger."""

    def __init__(
        self,
        *,
        targets=3,
        max_connections=4,
        max_in_flight=2,
        ledger=None,
        clock=None,
        prefix="r",
    ):
        self.prefix = prefix
        self.clock = clock or Clock()
        self.targets = FakeTargets(self.clock)
        self.ledger = ledger or FakeLedger(self.clock)
        self.table = TargetTable("d")
        self.table.replace("s", "d", list_targets(targets), now=self.clock.now)
        self.permits = PermitPool(self.table, build_policy(), threads=8, seed=7)
        self.rows = list(self.table.services["s"].targets.values())
        plan = ServicePlan(
            service="s",
            rows=self.rows,
            max_connections=max_connections,
            max_in_flight=max_in_flight,
        )
        self.permits.set_plans({"s": plan}, self.clock.now)
        self.number = 0
        self.key_at = 0.0

    def run(self, kind=LOOKUP, *, key="k", remaining_seconds=DEADLINE):
        self.number += 1
        request = CallerRequest(
            request=f"{self.prefix}{self.number}",
            kind="k",
            method="GET",
            path="/",
            body=b"",
            key=None if kind.idempotent else key,
        )
        dependencies = RunnerDependencies(
            process="g",
            permits=self.permits,
            targets=self.targets,
            claim=self.ledger.claim,
            finish=self.ledger.finish,
            add_event=lambda *_, **__: None,
            count_retry=lambda kind: None,
            read_now=self.clock.read,
        )
        runner = RequestRunner(
            dependencies,
            request,
            kind,
            service="s",
            deadline_at=self.clock.now + remaining_seconds,
            key_at=self.key_at,
        )
        return runner.run()

    def check_all_released(self):
        """Check that no permit and no connection is held after the requests ended."""
        assert [row.in_flight for row in self.rows] == [0] * len(self.rows)
        assert all(count == 0 for count in self.targets.open.values())


@pytest.mark.parametrize(
    ("kind", "script", "outcome", "ran"),
    [
        (LOOKUP, [], "done", 1),
        (LOOKUP, [Behaviour.CUTS_CONNECTION], "done", 2),
        (LOOKUP, [Behaviour.BREAKS_DURING_SEND], "done", 2),
        (LOOKUP, [Behaviour.UNREACHABLE], "done", 1),
        (LOOKUP, [Behaviour.REFUSES], "done", 1),
        (LOOKUP, [Behaviour.NEVER_RESPONDS], "done", 2),
        (LOOKUP, [Behaviour.FAILS], "done", 2),
        (LOOKUP, [Behaviour.IS_LEAVING], "done", 1),
        (LOOKUP, [Behaviour.UNREACHABLE] * 3, "not-run", 0),
        (LOOKUP, [Behaviour.REFUSES] * 3, "not-run", 0),
        (LOOKUP, [Behaviour.CUTS_CONNECTION] * 3, "unknown", 3),
        (
            LOOKUP,
            [Behaviour.CUTS_CONNECTION, Behaviour.REFUSES, Behaviour.REFUSES],
            "unknown",
            1,
        ),
        (LOOKUP, [Behaviour.NEVER_RESPONDS, Behaviour.NEVER_RESPONDS], "unknown", 2),
        (PURCHASE, [], "done", 1),
        (PURCHASE, [Behaviour.FAILS], "done", 1),
        (PURCHASE, [Behaviour.CUTS_CONNECTION], "unknown", 1),
        (PURCHASE, [Behaviour.NEVER_RESPONDS], "unknown", 1),
        (PURCHASE, [Behaviour.BREAKS_DURING_SEND], "unknown", 1),
        (PURCHASE, [Behaviour.REFUSES], "not-run", 0),
        (PURCHASE, [Behaviour.UNREACHABLE], "done", 1),
        (PURCHASE, [Behaviour.UNREACHABLE] * 3, "not-run", 0),
    ],
)
def test_response_matches_what_the_targets_ran(kind, script, outcome, ran):
    path = RequestPath()
    path.targets.script = list(script)
    answer = path.run(kind)
    assert answer.outcome is Outcome(outcome)
    assert len(path.targets.ran) == ran
    assert (answer.retry_after is not None) == (outcome == "not-run")
    assert path.clock.now <= 100.0 + DEADLINE
    if answer.outcome is Outcome.DONE:
        assert answer.body == b"r1"
    path.check_all_released()


@pytest.mark.parametrize(
    ("fault", "sends", "released"),
    [
        (UnavailableError("down", step="ledger.Claim"), 0, 0),
        (UncertainError("lost", step="peer.Claim"), 0, 1),
    ],
)
def test_nothing_is_sent_if_the_claim_fails(fault, sends, released):
    path = RequestPath()
    path.ledger.script = [fault]
    answer = path.run(PURCHASE)
    assert answer.outcome is Outcome.NOT_RUN
    assert len(path.targets.sent) == sends
    assert [message.ran for message in path.ledger.finished] == [False] * released
    assert path.run(PURCHASE).outcome is Outcome.DONE


SCRIPTS = st.lists(st.sampled_from(list(Behaviour)), max_size=6)


@given(
    scripts=st.lists(SCRIPTS, min_size=1, max_size=4),
    order=st.lists(st.integers(0, 3), max_size=8),
)
def test_one_key_runs_at_most_once_across_gateways(scripts, order):
    clock = Clock()
    ledger = FakeLedger(clock)
    gateways = [
        RequestPath(ledger=ledger, clock=clock, prefix=f"g{number}-")
        for number in range(len(scripts))
    ]
    for gateway, script in zip(gateways, scripts, strict=True):
        gateway.targets.script = list(script)
    answers = [gateways[n % len(gateways)].run(PURCHASE) for n in order]
    ran = sum(len(gateway.targets.ran) for gateway in gateways)
    assert ran <= 1
    if any(answer.outcome is Outcome.DONE for answer in answers):
        assert ran == 1


def test_slow_lookup_is_hedged_within_the_retry_budget():
    path = RequestPath()
    path.targets.script = [Behaviour.NEVER_RESPONDS]
    began = path.clock.now
    assert path.run().outcome is Outcome.DONE
    assert path.clock.now - began < 0.1
    path.permits.policy = build_policy(retries="none")
    path.targets.script = [Behaviour.NEVER_RESPONDS]
    assert path.run().outcome is Outcome.UNKNOWN


def test_leaving_target_gets_no_further_requests():
    path = RequestPath(targets=2)
    path.targets.behaviours.update(a0=Behaviour.IS_LEAVING, a1=Behaviour.IS_LEAVING)
    answers = [path.run().outcome.value for _ in range(4)]
    assert answers == ["done", "done", "not-run", "not-run"]
    assert {address for _, address, _ in path.targets.sent} == {"a0", "a1"}


def test_target_that_always_fails_is_ejected():
    path = RequestPath()
    path.targets.behaviours["a0"] = Behaviour.FAILS
    answers = [path.run().status for _ in range(200)]
    assert answers.count(200) >= 195
    assert sum(address == "a0" for _, address, _ in path.targets.sent) <= 4


def test_request_that_cannot_meet_its_deadline_is_rejected_at_once():
    path = RequestPath(targets=1, max_in_flight=1)
    now = path.clock.now
    held = path.permits.try_acquire("s", TaskClass.LATENCY_CRITICAL, set(), now=now)
    assert held is not None
    answer = path.run(remaining_seconds=0.006)
    assert (answer.outcome, answer.status) == (Outcome.NOT_RUN, 429)
    assert path.clock.now == now


def test_batch_leaves_permits_to_lookups():
    path = RequestPath(targets=1, max_in_flight=2)
    path.rows[0].batch_permits = 1
    taken = [
        path.permits.try_acquire("s", TaskClass.BATCH, set(), now=path.clock.now)
        for _ in range(2)
    ]
    assert [row is not None for row in taken] == [True, False]
    assert path.run().outcome is Outcome.DONE


def test_response_without_any_target_says_when_to_retry():
    path = RequestPath(targets=0)
    answer = path.run()
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.retry_after >= 1.0

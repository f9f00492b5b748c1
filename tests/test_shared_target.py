"""Several gateways share one target over real sockets; the target records all."""

import json
from concurrent.futures import ThreadPoolExecutor

import pytest

from plantainhinge.adapters.targets_http import HttpTargetClient
from plantainhinge.core.calls import CallerRequest
from plantainhinge.core.clock import read_monotonic
from plantainhinge.core.messages import Target as Replica
from plantainhinge.core.states import Outcome
from plantainhinge.daemons.permits import PermitPool
from plantainhinge.daemons.request_runner import RequestRunner, RunnerDependencies
from plantainhinge.routing.limits import compute_max_connections
from plantainhinge.routing.plans import ServicePlan
from plantainhinge.routing.policy import build_policy
from plantainhinge.routing.targets import TargetTable
from standins.target import Fault, Target, serve_target

from .test_request_runner import LOOKUP

CONNECTIONS, GATEWAYS_MAX, GATEWAYS = 12, 6, 4
CALLERS, REQUESTS = 4, 5
DEADLINE = 20.0
DEADLINE_WITH_FAULTS = 0.3

FAULTS = {
    "none": [],
    "cut": [Fault.CUT_IN_BODY, Fault.NONE, Fault.NONE],
    "crossed": [Fault.CROSSED, Fault.NONE],
    "hang-up": [Fault.CUT_BEFORE_RESPONSE, Fault.NONE],
    "refuses": [Fault.REFUSES, Fault.NONE],
    "all": [
        Fault.CUT_AFTER_HEADERS,
        Fault.NONE,
        Fault.GARBAGE,
        Fault.TWICE,
        Fault.NONE,
        Fault.FAILS,
    ],
}


def build_gateway(address):
    table = TargetTable("d")
    replica = Replica(
        target="t", service="s", address=address, domain="d", rack="r", worker="w"
    )
    table.replace("s", "d", [replica], now=0.0)
    permits = PermitPool(table, build_policy(ejection="none"), threads=8, seed=3)
    rows = list(table.services["s"].targets.values())
    max_connections = compute_max_connections(CONNECTIONS, GATEWAYS_MAX)
    plan = ServicePlan(
        service="s",
        rows=rows,
        max_connections=max_connections,
        max_in_flight=max_connections,
    )
    permits.set_plans({"s": plan}, read_monotonic())
    return RunnerDependencies(
        process="g",
        permits=permits,
        targets=HttpTargetClient(),
        claim=None,
        finish=None,
        add_event=lambda *_, **__: None,
        count_retry=lambda kind: None,
        read_now=read_monotonic,
    )


def call(dependencies, name, deadline):
    request = CallerRequest(request=name, kind="k", method="GET", path="/", body=b"")
    runner = RequestRunner(
        dependencies,
        request,
        LOOKUP,
        service="s",
        deadline_at=read_monotonic() + deadline,
        key_at=0.0,
    )
    return name, runner.run()


@pytest.mark.parametrize("faults", list(FAULTS))
def test_connections_stay_within_the_limit_and_callers_get_their_own_answers(faults):
    target = Target("t", service_seconds=0.005)
    target.planned_faults = FAULTS[faults] * 60
    deadline = DEADLINE_WITH_FAULTS if FAULTS[faults] else DEADLINE
    with serve_target(target, "127.0.0.1") as address:
        gateways = [build_gateway(address) for _ in range(GATEWAYS)]
        with ThreadPoolExecutor(GATEWAYS * CALLERS) as pool:
            calls = [
                pool.submit(call, gateways[number % GATEWAYS], f"r{number}", deadline)
                for number in range(GATEWAYS * CALLERS * REQUESTS)
            ]
            answers = [done.result() for done in calls]
    assert target.max_connections_seen <= CONNECTIONS
    executed = set(target.executed)
    for name, answer in answers:
        if answer.outcome is Outcome.NOT_RUN:
            assert name not in executed
        elif answer.outcome is Outcome.DONE and answer.status == 200:
            assert json.loads(answer.body)["request"] == name
    if faults == "none":
        assert all(answer.outcome is Outcome.DONE for _, answer in answers)

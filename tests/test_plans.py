"""Service plans: which targets a gateway may use, and its limits at each of them."""

import pytest

from plantainhinge.core.configuration import Configuration, Domain, Service
from plantainhinge.core.messages import Heartbeat, Instance, LoadDigest, QueryTargets
from plantainhinge.core.states import (
    DaemonRole,
    DomainState,
    InstanceRole,
    InstanceState,
)
from plantainhinge.routing.plans import (
    CONFIRMATION_AGE_SECONDS_MAX,
    DIGESTS_MAX,
    build_load_digests,
    compute_load_share,
    may_route,
    plan_service,
    update_leaving_workers,
)
from plantainhinge.routing.policy import build_policy
from plantainhinge.routing.target_lists import answer_target_query
from plantainhinge.routing.targets import TargetTable

from .test_request_runner import list_targets


def make_configuration(state=DomainState.IN):
    return Configuration(
        schema=1,
        domains={"d": Domain(region="r", state=state), "far": Domain(region="x")},
        teams={},
        services={"s": Service(team="t", replicas=2, task={})},
        kinds={},
    )


def make_heartbeat(name="g", *, revision=1, loads=(), domain="d"):
    return Heartbeat(
        process=name,
        incarnation=1,
        role=DaemonRole.GATEWAY,
        address=f"{name}:1",
        domain=domain,
        revision=revision,
        ready=True,
        loads=list(loads),
    )


def plan(table, configuration, live=(), *, lookups=0.0):
    return plan_service(
        table,
        "s",
        configuration,
        region="r",
        gateway="g",
        live=live,
        arrivals_per_second=0.0,
        critical_in_flight=lookups,
        policy=build_policy(),
    )


def list_leaving(worker):
    return [
        Instance(
            instance=worker,
            role=InstanceRole.WORKER,
            state=InstanceState.LEAVING,
            address="w:1",
            domain="d",
            region="r",
        )
    ]


@pytest.mark.parametrize(
    ("source", "left"),
    [
        ("nothing", ["t0", "t1"]),
        ("configuration", []),
        ("instance list", ["t1"]),
        ("own answer", ["t1"]),
        ("cell", ["t1"]),
    ],
)
def test_one_source_is_enough_to_call_a_target_leaving(source, left):
    table = TargetTable("d")
    targets = list_targets(2)
    if source == "cell":
        targets = targets[1:]
    table.replace("s", "d", targets, now=0.0)
    if source == "own answer":
        table.services["s"].targets["t0"].leaving = True
    if source == "instance list":
        update_leaving_workers(table, list_leaving("w0"))
    state = DomainState.OUT if source == "configuration" else DomainState.IN
    rows = plan(table, make_configuration(state)).rows
    assert [row.target.target for row in rows] == left


def test_an_empty_instance_list_removes_no_target():
    table = TargetTable("d")
    table.replace("s", "d", list_targets(2), now=0.0)
    update_leaving_workers(table, [])
    assert len(plan(table, make_configuration()).rows) == 2


@pytest.mark.parametrize(
    ("age", "peer_revision", "routes"),
    [
        (0.5, 5, True),
        (CONFIRMATION_AGE_SECONDS_MAX, 5, True),
        (CONFIRMATION_AGE_SECONDS_MAX, 6, False),
        (None, 6, False),
        (60.0, 4, True),
    ],
)
def test_a_configuration_known_to_be_superseded_routes_nothing(
    age, peer_revision, routes
):
    assert may_route(5, age, [make_heartbeat("h", revision=peer_revision)]) is routes


def test_routing_goes_on_by_the_last_configuration_while_the_log_is_down_for_all():
    assert may_route(5, 3600.0, [make_heartbeat("h", revision=5)])
    assert may_route(5, 3600.0, [])


def test_load_digests_weight_the_split_and_are_optional():
    busy = LoadDigest(service="s", in_flight=1, arrivals_per_second=300.0)
    peers = [make_heartbeat("g"), make_heartbeat("h", loads=[busy])]
    assert compute_load_share("s", "g", peers, 100.0).weight == pytest.approx(0.25)
    assert compute_load_share("s", "g", [], 100.0).weight == 1.0
    assert compute_load_share("s", "g", peers[:1] * 3, 0.0).weight == 1.0
    quiet = [make_heartbeat("g"), make_heartbeat("h")]
    assert compute_load_share("s", "g", quiet, 0.0).weight == 0.5


def test_a_heartbeat_carries_a_bounded_number_of_digests():
    arrivals = {f"s{number}": float(number) for number in range(100)}
    digests = build_load_digests({}, arrivals)
    assert len(digests) == DIGESTS_MAX
    assert digests[0].service == "s99"


def test_a_large_cell_lists_a_bounded_subset_and_only_if_it_changed():
    targets = list_targets(500)
    query = QueryTargets(cell="d", service="s", gateway="g", limit=22)
    listed = answer_target_query(targets, query)
    assert len(listed.targets) == 22
    again = QueryTargets(
        cell="d", service="s", gateway="g", limit=22, seen=listed.version
    )
    assert answer_target_query(targets, again).unchanged
    without_first = [target for target in targets if target != listed.targets[0]]
    assert not answer_target_query(without_first, again).unchanged


def test_gateways_of_other_regions_do_not_count():
    far = make_heartbeat("h", domain="far")
    table = TargetTable("d")
    table.replace("s", "d", list_targets(2), now=0.0)
    assert plan(table, make_configuration(), [far]).batch_permits == 2 * 6
    near = make_heartbeat("h")
    assert plan(table, make_configuration(), [near]).batch_permits == 2 * 3


def test_batch_permits_shrink_as_lookups_increase():
    table = TargetTable("d")
    table.replace("s", "d", list_targets(2), now=0.0)
    permits = [
        plan(table, make_configuration(), lookups=mean).batch_permits
        for mean in (0.0, 0.9, 2.0, 16.0)
    ]
    assert permits == [2 * 6, 2 * 5, 2 * 4, 2 * 4]

"""Jobs that can never run are told apart from those that wait."""

import pytest

from plantainhinge.core.documents import parse_configuration
from plantainhinge.core.messages import Instance
from plantainhinge.core.resources import Resources
from plantainhinge.core.states import InstanceRole, InstanceState
from plantainhinge.placement.feasibility import explain_infeasible, list_capacities

CONFIGURATION = parse_configuration("""{
  schema: 1,
  domains: {a: {region: "r"}, b: {region: "r"}},
  teams: {t: {quota: {processors: 40, memory_gib: 100}}},
  services: {}, kinds: {},
}""")


def worker(domain, cores):
    return Instance(
        instance=f"{domain}{cores}",
        role=InstanceRole.WORKER,
        state=InstanceState.LIVE,
        address="127.0.0.1:1",
        domain=domain,
        region="r",
        capacity=Resources(cores * 1000, 64 * 1024),
    )


BOTH = [worker("a", 16), worker("b", 32)]


@pytest.mark.parametrize(
    ("cores", "team", "workers", "reason"),
    [
        (32, "t", BOTH, ""),
        (33, "t", BOTH, "no worker is that large"),
        (33, "t", BOTH[:1], ""),
        (33, "t", [], ""),
        (41, "t", BOTH[:1], "the quota of team 't'"),
        (1, "u", BOTH, "team 'u' is unknown; valid: ['t']"),
    ],
)
def test_only_what_surely_never_runs_is_final(cores, team, workers, reason):
    capacities = list_capacities(workers, CONFIGURATION.domains)
    need = Resources(cores * 1000, 1024)
    found = explain_infeasible(need, team, CONFIGURATION, capacities)
    assert reason in found
    assert bool(found) is bool(reason)

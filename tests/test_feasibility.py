"""Jobs that can never run are distinguished from jobs that may run later."""

import pytest

from plantainhinge.core.documents import parse_configuration
from plantainhinge.core.resources import Resources
from plantainhinge.placement.feasibility import explain_infeasible

CONFIGURATION = parse_configuration("""{
  schema: 1,
  domains: {a: {region: "r"}, b: {region: "r"}},
  teams: {t: {quota: {processors: 40, memory_gib: 100}}},
  services: {}, kinds: {},
}""")


BOTH = frozenset({Resources(16_000, 65_536), Resources(32_000, 65_536)})


@pytest.mark.parametrize(
    ("cores", "team", "capacities", "reason"),
    [
        (32, "t", BOTH, ""),
        (33, "t", BOTH, "no worker is that large"),
        (33, "t", None, ""),
        (41, "t", None, "the quota of team 't'"),
        (1, "u", BOTH, "team 'u' is unknown; valid: ['t']"),
    ],
)
def test_only_jobs_known_never_to_run_are_rejected(cores, team, capacities, reason):
    need = Resources(cores * 1000, 1024)
    found = explain_infeasible(need, team, CONFIGURATION, capacities)
    assert reason in found
    assert bool(found) is bool(reason)

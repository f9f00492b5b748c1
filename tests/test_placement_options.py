"""The policy names that the options accept are those that are registered."""

from typing import get_args, get_type_hints

import pytest

from plantainhinge.core.configuration import Placement
from plantainhinge.placement.assignment import AssignmentPolicy, build_assignment_policy
from plantainhinge.placement.cells import CELL_CHOICES
from plantainhinge.placement.drain import DRAIN_POLICIES, DrainLimits
from plantainhinge.placement.interference import INTERFERENCE_MODELS
from plantainhinge.placement.mitigation import MITIGATION_POLICIES, MitigationLimits
from plantainhinge.placement.queue import QUEUE_ORDERS
from plantainhinge.placement.scores import SCORES
from plantainhinge.placement.workers import CellPolicy, CellTables, build_cell_policy


@pytest.mark.parametrize(
    ("field", "registry"),
    [
        ("order", QUEUE_ORDERS),
        ("cell_choice", CELL_CHOICES),
        ("score", SCORES),
        ("interference", INTERFERENCE_MODELS),
        ("relief", MITIGATION_POLICIES),
        ("drain", DRAIN_POLICIES),
    ],
)
def test_every_valid_name_is_registered(field, registry):
    assert set(get_args(get_type_hints(Placement)[field])) == set(registry)


def test_the_defaults_of_the_options_match_those_of_the_policies():
    tables = CellTables()
    tables.set_limits(Placement())
    assert build_assignment_policy(Placement()) == AssignmentPolicy()
    assert build_cell_policy(Placement()) == CellPolicy()
    assert tables.mitigation.limits == MitigationLimits()
    assert tables.drain.limits == DrainLimits()


def test_declared_names_and_limits_are_applied():
    options = Placement(
        order="arrival", score="first-fit", grace_seconds=5.0, slowdown_limit=3.0
    )
    tables = CellTables()
    tables.set_limits(options)
    assert build_assignment_policy(options).order == "arrival"
    assert build_cell_policy(options).score == "first-fit"
    assert tables.drain.limits.grace_seconds == 5.0
    assert (tables.mitigation.limits.high, tables.mitigation.limits.low) == (3.0, 2.6)

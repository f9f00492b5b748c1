"""The step for an open attempt that its worker does not report."""

import pytest

from plantainhinge.ledgers.reconciliation import Flight, Step, plan_absent

CASES = [
    # The flight, the epoch that placed it, the worker's incarnation: the step.
    (None, 5, 1, Step.START),
    (None, 4, 1, Step.STOP),
    (Flight(1), 5, 1, Step.START),
    (Flight(1, tries=3), 5, 1, Step.START),
    (Flight(1), 5, 2, Step.LOST),
    (Flight(1, answered_at=10.0), 5, 2, Step.LOST),
    (Flight(1, answered_at=10.0), 5, 1, Step.STOP),
    (Flight(1, answered_at=20.0), 5, 1, Step.STOP),
    (Flight(1, answered_at=20.5), 5, 1, Step.KEEP),
    (Flight(1, answered_at=10.0), 4, 1, Step.STOP),
]


@pytest.mark.parametrize(("flight", "placed_under", "incarnation", "step"), CASES)
def test_an_absent_attempt(flight, placed_under, incarnation, step):
    planned = plan_absent(
        flight,
        placed_under=placed_under,
        epoch=5,
        incarnation=incarnation,
        asked_at=20.0,
    )
    assert planned is step

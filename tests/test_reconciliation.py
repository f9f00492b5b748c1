"""The action for an open attempt that is missing from its worker's report."""

import pytest

from plantainhinge.ledgers.reconciliation import (
    AttemptAction,
    SentStarts,
    plan_absent_attempt,
)

CASES = [
    # Starts sent, epoch that placed the attempt, worker's incarnation, action.
    (None, 5, 1, AttemptAction.START),
    (None, 4, 1, AttemptAction.STOP),
    (SentStarts(1), 5, 1, AttemptAction.START),
    (SentStarts(1, tries=3), 5, 1, AttemptAction.START),
    (SentStarts(1), 5, 2, AttemptAction.LOST),
    (SentStarts(1, confirmed_at=10.0), 5, 2, AttemptAction.LOST),
    (SentStarts(1, confirmed_at=10.0), 5, 1, AttemptAction.STOP),
    (SentStarts(1, confirmed_at=20.0), 5, 1, AttemptAction.STOP),
    (SentStarts(1, confirmed_at=20.5), 5, 1, AttemptAction.KEEP),
    (SentStarts(1, confirmed_at=10.0), 4, 1, AttemptAction.STOP),
]


@pytest.mark.parametrize(("starts", "placed_under", "incarnation", "action"), CASES)
def test_action_for_an_unreported_attempt(starts, placed_under, incarnation, action):
    planned = plan_absent_attempt(
        starts,
        placed_under=placed_under,
        epoch=5,
        incarnation=incarnation,
        asked_at=20.0,
    )
    assert planned is action

"""The state machine of one request, followed along generated and listed paths."""

import pytest
from hypothesis import given, strategies as st

from plantainhinge.core.states import Outcome
from plantainhinge.routing.budgets import (
    ATTEMPTS_MAX,
    BUDGET_TOKENS_MAX,
    RetryBudget,
    add_request,
    spend,
)
from plantainhinge.routing.requests import (
    Action,
    ClaimAction,
    DecisionContext,
    Event,
    RequestState,
    advance,
    determine_claim_action,
    determine_outcome,
    list_events,
)

DEADLINE = 1.0
STEPS_MAX = 60


class GroundTruth:
    """What really happened, recorded independently of the state machine."""

    def __init__(self):
        self.may_run = 0
        self.refused = 0
        self.sends = 0
        self.complete = False
        self.granted = False

    def record(self, event, action):
        if event is Event.SENT or (event is Event.LOST and action is Action.SEND):
            self.sends += 1
            self.may_run += 1
        if event is Event.REFUSED:
            self.may_run -= 1
        self.complete = self.complete or event in (Event.COMPLETE, Event.FAILED)
        self.granted = self.granted or event is Event.GRANTED


def follow_path(idempotent, choices, delays, budget):
    """Follow one path; return the state at its end and what really happened."""
    state = RequestState(idempotent=idempotent, deadline_at=DEADLINE)
    truth, now = GroundTruth(), 0.0
    for number in range(STEPS_MAX):
        if state.action is Action.RESPOND:
            return state, truth
        action = state.action
        events = list_events(action)
        if state.hedged:
            events = [event for event in events if event is not Event.LATE]
        event = events[choices[number % len(choices)] % len(events)]
        now += delays[number % len(delays)]
        truth.record(event, action)
        if event is Event.ACQUIRED:
            state.tried.add(f"t{len(state.tried)}")
        context = DecisionContext(
            now=now, typical_latency=0.01, spend=lambda: spend(budget)
        )
        advance(state, event, context)
    raise AssertionError("the request never ended")


PATHS = {
    "choices": st.lists(st.integers(0, 20), min_size=1, max_size=20),
    "delays": st.lists(st.floats(0.0, 0.4), min_size=1, max_size=8),
    "tokens": st.floats(0.0, BUDGET_TOKENS_MAX),
}


@given(idempotent=st.booleans(), **PATHS)
def test_not_run_is_reported_only_if_no_attempt_ran(
    idempotent, choices, delays, tokens
):
    state, truth = follow_path(idempotent, choices, delays, RetryBudget(tokens))
    if determine_outcome(state) is Outcome.NOT_RUN:
        assert truth.may_run == 0
    if determine_outcome(state) is Outcome.DONE:
        assert truth.complete


@given(**PATHS)
def test_a_non_idempotent_request_is_sent_once_and_only_when_claimed(
    choices, delays, tokens
):
    state, truth = follow_path(False, choices, delays, RetryBudget(tokens))
    assert truth.sends <= 1
    assert truth.granted or not truth.sends
    if determine_claim_action(state) is ClaimAction.RELEASE:
        assert truth.may_run == 0
    if determine_claim_action(state) is ClaimAction.SETTLE:
        assert truth.complete


@given(**PATHS)
def test_attempts_are_bounded_by_the_retry_budget(choices, delays, tokens):
    _, truth = follow_path(True, choices, delays, RetryBudget(tokens))
    assert truth.sends <= min(ATTEMPTS_MAX, 1 + int(tokens))


@pytest.mark.parametrize(
    ("idempotent", "events", "outcome", "claim"),
    [
        (True, "REJECTED", "not-run", "none"),
        (True, "ADMITTED NO_PERMIT", "not-run", "none"),
        (True, "ADMITTED ACQUIRED SENT COMPLETE", "done", "none"),
        (True, "ADMITTED ACQUIRED NOT_SENT ACQUIRED SENT COMPLETE", "done", "none"),
        (True, "ADMITTED ACQUIRED SENT REFUSED ACQUIRED SENT COMPLETE", "done", "none"),
        (True, "ADMITTED ACQUIRED SENT REFUSED NO_PERMIT", "not-run", "none"),
        (True, "ADMITTED ACQUIRED LOST NO_PERMIT", "unknown", "none"),
        (True, "ADMITTED ACQUIRED SENT LOST NO_PERMIT", "unknown", "none"),
        (True, "ADMITTED ACQUIRED SENT LOST ACQUIRED SENT COMPLETE", "done", "none"),
        (True, "ADMITTED ACQUIRED SENT FAILED NO_PERMIT", "done", "none"),
        (True, "ADMITTED ACQUIRED SENT EXPIRED", "unknown", "none"),
        (
            True,
            "ADMITTED ACQUIRED SENT LATE ACQUIRED SENT LOST COMPLETE",
            "done",
            "none",
        ),
        (True, "ADMITTED ACQUIRED SENT LATE NO_PERMIT EXPIRED", "unknown", "none"),
        (
            True,
            "ADMITTED ACQUIRED SENT LATE ACQUIRED NOT_SENT REFUSED NO_PERMIT",
            "not-run",
            "none",
        ),
        (False, "ADMITTED NOT_CLAIMED", "not-run", "none"),
        (False, "ADMITTED CLAIM_LOST", "not-run", "release"),
        (False, "ADMITTED DUPLICATE", "unknown", "none"),
        (False, "ADMITTED GRANTED NO_PERMIT", "not-run", "release"),
        (False, "ADMITTED GRANTED ACQUIRED SENT REFUSED", "not-run", "release"),
        (False, "ADMITTED GRANTED ACQUIRED SENT LOST", "unknown", "keep"),
        (False, "ADMITTED GRANTED ACQUIRED LOST", "unknown", "keep"),
        (False, "ADMITTED GRANTED ACQUIRED SENT EXPIRED", "unknown", "keep"),
        (False, "ADMITTED GRANTED ACQUIRED SENT FAILED", "done", "settle"),
        (False, "ADMITTED GRANTED ACQUIRED SENT COMPLETE", "done", "settle"),
        (
            False,
            "ADMITTED GRANTED ACQUIRED NOT_SENT ACQUIRED SENT COMPLETE",
            "done",
            "settle",
        ),
    ],
)
def test_the_outcome_of_listed_paths(idempotent, events, outcome, claim):
    state = RequestState(idempotent=idempotent, deadline_at=DEADLINE)
    context = DecisionContext(now=0.0, typical_latency=0.01, spend=lambda: True)
    for name in events.split():
        assert state.action is not Action.RESPOND
        advance(state, Event[name], context)
    assert state.action is Action.RESPOND
    assert determine_outcome(state) is Outcome(outcome)
    assert determine_claim_action(state) is ClaimAction(claim)


@given(st.integers(1, 500))
def test_retries_stay_within_their_ratio_of_requests(requests):
    budget, retries = RetryBudget(0.0), 0
    for _ in range(requests):
        add_request(budget)
        retries += spend(budget)
    assert retries <= requests * 0.1 + 1e-6

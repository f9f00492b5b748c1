"""Idempotency keys and their age, and the outbox of messages that finish claims."""

import random

import pytest
from hypothesis import given, strategies as st

from plantainhinge.core.claims import CLAIM_WINDOW_SECONDS
from plantainhinge.core.errors import BadInputError
from plantainhinge.core.messages import FinishClaim
from plantainhinge.core.states import Outcome
from plantainhinge.routing.claims import (
    CLOCK_SKEW_SECONDS,
    SENDS_MAX,
    FinishOutbox,
    KeyAge,
    acknowledge,
    classify_key_age,
    collect_due,
    enqueue,
    parse_key_time,
)
from plantainhinge.routing.responses import build_key_response
from standins.keys import make_key

WALL_NOW = 1_800_000_000.0


@given(st.integers(0, 2**47), st.integers(0, 2**32))
def test_the_creation_time_of_a_key_is_read(milliseconds, seed):
    key = make_key(milliseconds / 1000, rng=random.Random(seed))
    assert abs(parse_key_time(key) - milliseconds / 1000) <= 0.001


@pytest.mark.parametrize(
    "key",
    [
        None,
        "",
        "order-1",
        "7b3f2f0e-8a53-4a8e-9c43-111111111111",
        "{018f0000-0000-7000-8000-000000000000}",
        "018f0000000070008000000000000000",
    ],
)
def test_a_key_that_is_no_uuid7_is_bad_input(key):
    with pytest.raises(BadInputError, match="UUIDv7"):
        parse_key_time(key)


@pytest.mark.parametrize(
    ("age", "expected"),
    [
        (0.0, KeyAge.RECENT),
        (CLAIM_WINDOW_SECONDS - 1.0, KeyAge.RECENT),
        (CLAIM_WINDOW_SECONDS + 1.0, KeyAge.EXPIRED),
        (1e9, KeyAge.EXPIRED),
        (-CLOCK_SKEW_SECONDS + 1.0, KeyAge.RECENT),
        (-CLOCK_SKEW_SECONDS - 1.0, KeyAge.FUTURE),
    ],
)
def test_keys_outside_the_claim_window_cannot_be_claimed(age, expected):
    assert classify_key_age(WALL_NOW - age, WALL_NOW) is expected


@pytest.mark.parametrize(
    ("age", "status"), [(KeyAge.EXPIRED, 410), (KeyAge.FUTURE, 400)]
)
def test_the_outcome_is_unknown_for_a_key_that_cannot_be_claimed(age, status):
    answer = build_key_response(age)
    assert (answer.status, answer.outcome) == (status, Outcome.UNKNOWN)
    assert answer.retry_after is None


def make_finish_claim(key, request="r"):
    return FinishClaim(key=key, request=request, team="t", ran=True)


def test_a_message_is_resent_until_it_is_acknowledged():
    outbox, sent = FinishOutbox(), []
    enqueue(outbox, make_finish_claim("k"), 0.0)
    assert collect_due(outbox, 0.0, lambda message: False) == []
    for second in range(100):
        sent += collect_due(outbox, float(second), lambda message: True)
        if len(sent) == 3:
            acknowledge(outbox, make_finish_claim("k", "other"))
            acknowledge(outbox, make_finish_claim("k"))
    assert len(sent) == 3
    assert not outbox.entries


def test_a_message_is_dropped_after_a_bounded_number_of_sends():
    outbox, sent = FinishOutbox(), []
    enqueue(outbox, make_finish_claim("k"), 0.0)
    for second in range(1000):
        sent += collect_due(outbox, float(second), lambda message: True)
    assert len(sent) == SENDS_MAX
    assert not outbox.entries

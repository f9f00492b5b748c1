"""Keys and their age, and the repetition of the last message of a claim."""

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

WALL = 1_800_000_000.0


@given(st.integers(0, 2**47), st.integers(0, 2**32))
def test_a_key_tells_when_it_was_made(milliseconds, seed):
    key = make_key(milliseconds / 1000, draw=random.Random(seed))
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
def test_any_other_key_is_bad_input(key):
    with pytest.raises(BadInputError, match="UUIDv7"):
        parse_key_time(key)


@pytest.mark.parametrize(
    ("age", "judged"),
    [
        (0.0, KeyAge.RECENT),
        (CLAIM_WINDOW_SECONDS - 1.0, KeyAge.RECENT),
        (CLAIM_WINDOW_SECONDS + 1.0, KeyAge.EXPIRED),
        (1e9, KeyAge.EXPIRED),
        (-CLOCK_SKEW_SECONDS + 1.0, KeyAge.RECENT),
        (-CLOCK_SKEW_SECONDS - 1.0, KeyAge.FUTURE),
    ],
)
def test_a_key_older_than_the_window_is_expired(age, judged):
    assert classify_key_age(WALL - age, WALL) is judged


@pytest.mark.parametrize(
    ("age", "status"), [(KeyAge.EXPIRED, 410), (KeyAge.FUTURE, 400)]
)
def test_of_a_key_that_cannot_be_claimed_the_outcome_is_unknown(age, status):
    answer = build_key_response(age)
    assert (answer.status, answer.outcome) == (status, Outcome.UNKNOWN)
    assert answer.retry_after is None


def finish(key, request="r"):
    return FinishClaim(key=key, request=request, team="t", ran=True)


def test_a_finish_is_repeated_until_acknowledged():
    table, sent = FinishOutbox(), []
    enqueue(table, finish("k"), 0.0)
    assert collect_due(table, 0.0, lambda message: False) == []
    for second in range(100):
        sent += collect_due(table, float(second), lambda message: True)
        if len(sent) == 3:
            acknowledge(table, finish("k", "other"))
            acknowledge(table, finish("k"))
    assert len(sent) == 3
    assert not table.entries


def test_a_finish_is_given_up_after_a_bounded_number_of_repeats():
    table, sent = FinishOutbox(), []
    enqueue(table, finish("k"), 0.0)
    for second in range(1000):
        sent += collect_due(table, float(second), lambda message: True)
    assert len(sent) == SENDS_MAX
    assert not table.entries

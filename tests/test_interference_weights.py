"""Learning of interference weights from few observations."""

import random

import pytest
from hypothesis import given, strategies as st

from plantainhinge.core.ids import KindId, Seconds
from plantainhinge.dispatch.weights import (
    PRIOR_VARIANCE,
    PRIOR_WEIGHT,
    WEIGHT_MAX,
    ImageWeights,
)

SERVING, HEAVY, LIGHT = KindId("front"), KindId("heavy"), KindId("light")
TRUE = {HEAVY: 3.0, LIGHT: 0.2}


def observe(weights, beside, *, count, noise=0.0, start=0.0):
    chance = random.Random(1)
    for index in range(count):
        added = sum(TRUE[image] * share for image, share in beside.items())
        added += chance.gauss(0.0, noise)
        weights.update(SERVING, added, beside, Seconds(start + 0.3 * index))


def find(weights, image):
    return weights.find(SERVING, image)


def test_the_weight_of_a_new_pair_moves_far_after_few_observations():
    weights = ImageWeights()
    observe(weights, {HEAVY: 0.05}, count=5)
    assert find(weights, HEAVY) > 1.6


def test_an_observation_of_a_larger_share_moves_the_weight_further():
    weights = ImageWeights()
    observe(weights, {HEAVY: 0.2}, count=2)
    assert find(weights, HEAVY) == pytest.approx(TRUE[HEAVY], rel=0.2)


def test_images_on_one_worker_are_told_apart_by_observations_of_one_alone():
    weights = ImageWeights()
    observe(weights, {LIGHT: 0.1}, count=5)
    observe(weights, {HEAVY: 0.1, LIGHT: 0.1}, count=5, start=2.0)
    assert find(weights, HEAVY) > 2.0
    assert find(weights, LIGHT) < 0.8


def test_a_weight_converges_despite_noisy_observations():
    weights = ImageWeights()
    observe(weights, {HEAVY: 0.1}, count=100, noise=0.12)
    assert find(weights, HEAVY) == pytest.approx(TRUE[HEAVY], rel=0.25)


def test_the_upper_bound_is_looser_for_uncertain_weights():
    weights = ImageWeights()
    unknown = weights.estimate_upper_bound(SERVING, HEAVY, Seconds(0.0)) - find(
        weights, HEAVY
    )
    observe(weights, {HEAVY: 0.1}, count=20)
    known = weights.estimate_upper_bound(SERVING, HEAVY, Seconds(6.0)) - find(
        weights, HEAVY
    )
    old = weights.estimate_upper_bound(SERVING, HEAVY, Seconds(3600.0)) - find(
        weights, HEAVY
    )
    assert 0 < known < unknown / 3
    assert known < old
    assert old == pytest.approx(unknown)


def test_a_restored_weight_is_kept_until_the_pair_is_observed():
    weights = ImageWeights()
    weights.restore(SERVING, HEAVY, 2.5, Seconds(0.0))
    assert find(weights, HEAVY) == 2.5
    observe(weights, {HEAVY: 0.2}, count=5)
    assert 2.5 < find(weights, HEAVY) <= 3.0


@given(
    st.lists(
        st.tuples(
            st.floats(-10, 10),
            st.dictionaries(st.sampled_from([HEAVY, LIGHT]), st.floats(0, 2)),
            st.floats(0, 100),
        )
    )
)
def test_weights_stay_within_their_bounds(observations):
    weights = ImageWeights()
    now = 0.0
    for added, beside, pause in observations:
        now += pause
        weights.update(SERVING, added, beside, Seconds(now))
    for row in weights.estimates.values():
        assert 0 <= row.weight <= WEIGHT_MAX
        assert 0 < row.variance <= PRIOR_VARIANCE
    assert find(ImageWeights(), HEAVY) == PRIOR_WEIGHT

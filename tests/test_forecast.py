"""The forecast of a load learns its period, and follows a load that has none."""

import math
from random import Random

import pytest

from plantainhinge.dispatch.forecast import PRIOR_LOAD, make_forecast

VARIANCE = 0.003


def swing(at, *, period, mean=0.42, amplitude=0.2):
    return mean + amplitude * math.sin(2 * math.pi * at / period)


def observe(forecast, load, *, seconds, tasks=4, noise=0.05, seed=1):
    rng = Random(seed)
    at = 0.0
    while at < seconds:
        for _ in range(tasks):
            forecast.observe(at, load(at) + rng.gauss(0.0, noise), VARIANCE)
        at += 0.3
    return at


@pytest.mark.parametrize("period", [5.0, 10.0, 13.0, 24.0])
def test_a_load_with_a_period_is_forecast_seconds_ahead(period):
    forecast = make_forecast()
    end = observe(forecast, lambda at: swing(at, period=period), seconds=30)
    errors = [
        forecast.predict(end + ahead) - swing(end + ahead, period=period)
        for ahead in (0.4, 1.0, 2.0, 3.0)
    ]
    assert max(abs(error) for error in errors) < 0.1


def test_the_peak_between_two_times_is_found():
    forecast = make_forecast()
    observe(forecast, lambda at: swing(at, period=10.0), seconds=30)
    assert forecast.find_peak(31.0, 34.0) == pytest.approx(0.62, abs=0.06)
    assert forecast.find_peak(36.5, 38.5) < 0.4


def test_a_load_without_a_period_is_forecast_by_its_newest_value():
    forecast = make_forecast()
    end = observe(forecast, lambda at: 0.3 if at < 20 else 0.6, seconds=23)
    assert forecast.predict(end + 0.4) == pytest.approx(0.6, abs=0.1)


def test_a_single_wrong_observation_of_one_task_changes_little():
    forecast = make_forecast()
    end = observe(forecast, lambda at: 0.4, seconds=20)
    for load in (0.4, 0.4, 3.0):
        forecast.observe(end, load, VARIANCE)
    forecast.observe(end + 0.3, 0.4, VARIANCE)
    assert forecast.predict(end + 0.4) == pytest.approx(0.4, abs=0.05)


def test_an_uncertain_observation_counts_less_than_a_certain_one():
    sure, unsure = make_forecast(), make_forecast()
    for forecast, variance in ((sure, 0.003), (unsure, 0.3)):
        for index in range(8):
            forecast.observe(index * 0.3, 0.8, variance)
    assert sure.predict(2.4) > unsure.predict(2.4) > PRIOR_LOAD

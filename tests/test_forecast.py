"""The forecast of a load learns its period, and follows a load that has none."""

import math
from random import Random

import pytest

from plantainhinge.dispatch.forecast import (
    PRIOR_LOAD,
    make_forecast,
    select_periods,
)

VARIANCE = 0.003


def swing(at, *, period, mean=0.42, amplitude=0.2):
    return mean + amplitude * math.sin(2 * math.pi * at / period)


def observe(forecast, load, *, seconds, tasks=4, noise=0.05, seed=1):
    return observe_all([forecast], [load], seconds=seconds, tasks=tasks, noise=noise)


def observe_all(forecasts, loads, *, seconds, tasks=4, noise=0.05, seed=1):
    rng = Random(seed)
    at = 0.0
    while at < seconds:
        for forecast, load in zip(forecasts, loads, strict=True):
            for _ in range(tasks):
                forecast.observe(at, load(at) + rng.gauss(0.0, noise), VARIANCE)
        select_periods(forecasts)
        at += 0.3
    return at


def make_swing(*, period, phase, amplitude=0.2):
    return lambda at: swing(at + phase, period=period, amplitude=amplitude)


def measure_errors(forecasts, loads, at):
    return [
        abs(forecast.predict(at + ahead) - load(at + ahead))
        for forecast, load in zip(forecasts, loads, strict=True)
        for ahead in (0.4, 1.0)
    ]


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


def test_steps_together_learn_their_period_within_half_of_it():
    loads = [make_swing(period=10.0, phase=phase) for phase in range(10)]
    forecasts = [make_forecast() for _ in loads]
    end = observe_all(forecasts, loads, seconds=6)
    errors = measure_errors(forecasts, loads, end)
    assert sum(errors) / len(errors) < 0.06


def test_a_step_whose_load_has_another_period_keeps_it():
    loads = [make_swing(period=10.0, phase=phase) for phase in range(8)]
    loads.append(make_swing(period=5.0, phase=0))
    forecasts = [make_forecast() for _ in loads]
    end = observe_all(forecasts, loads, seconds=30)
    assert max(measure_errors(forecasts[-1:], loads[-1:], end)) < 0.1


def test_a_forecast_goes_on_under_an_owner_whose_clock_reads_otherwise():
    load = make_swing(period=10.0, phase=0)
    forecast = make_forecast()
    end = observe(forecast, load, seconds=30)
    curve = forecast.describe(clock_offset=1000.0)
    restored = make_forecast()
    restored.restore(curve, clock_offset=400.0, now=end + 600.0)
    later = [restored.predict(end + 600.0 + ahead) for ahead in (0.0, 2.0, 5.0, 8.0)]
    expected = [load(end + ahead) for ahead in (0.0, 2.0, 5.0, 8.0)]
    assert later == pytest.approx(expected, abs=0.07)


def test_a_restored_forecast_gives_way_to_a_load_that_has_changed():
    forecast = make_forecast()
    observe(forecast, make_swing(period=10.0, phase=0), seconds=30)
    restored = make_forecast()
    curve = forecast.describe(clock_offset=0.0)
    restored.restore(curve, clock_offset=0.0, now=0.0)
    end = observe(restored, lambda at: 0.3, seconds=8)
    assert restored.predict(end + 0.4) == pytest.approx(0.3, abs=0.06)

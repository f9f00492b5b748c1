"""Forecast of a serving step's own load.

The load that callers cause often rises and falls with a steady period. For each of
several periods, a regression on a mean, a cosine and a sine is kept, in which old
observations lose their weight. The period that explains the observations of all steps
best makes the forecasts. What it leaves unexplained is carried forward for a short
time, so that a load without a period is forecast by its newest value.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field
from statistics import median

from ..fleet.handover import LoadCurve

# observations lose their weight with this time constant
MEMORY_SECONDS = 20.0
# frequencies of the regressions, as close as that memory can tell apart
FREQUENCY_STEP_HERTZ = 1 / (4 * MEMORY_SECONDS)
FREQUENCIES_HERTZ = tuple(FREQUENCY_STEP_HERTZ * step for step in range(2, 21))
# observations within this time count as one, by their median
INTERVAL_SECONDS = 0.25
# a step keeps a period of its own if that lowers the sum of its squared errors by more
# than so many times the variance of an observation
OWN_PERIOD_EVIDENCE = 30.0
# forecast without any observation, and standard deviations of its mean and amplitude
PRIOR_LOAD = 0.45
PRIOR_MEAN_DEVIATION = 0.3
PRIOR_AMPLITUDE_DEVIATION = 0.1
# variance of one interval's observation if its load is known without error
NOISE_VARIANCE = 0.002
# time constant with which an unexplained deviation fades
DEVIATION_SECONDS = 1.5
# share of a new deviation that is carried forward
DEVIATION_GAIN = 0.4
# spacing of the times at which a peak is looked for
PEAK_STEP_SECONDS = 0.4
# observations that stand for the curve of an earlier owner, and their weight
RESTORED_POINTS = 12
RESTORED_WEIGHT = 0.6
# weight of the prior, in observations of variance NOISE_VARIANCE
_MEAN_PRECISION = NOISE_VARIANCE / PRIOR_MEAN_DEVIATION**2
_AMPLITUDE_PRECISION = NOISE_VARIANCE / PRIOR_AMPLITUDE_DEVIATION**2


@dataclass(slots=True)
class HarmonicRegression:
    """Weighted sums of a regression on a mean, a cosine and a sine of one frequency.

    Parameters
    ----------
    frequency : float
        Hertz.
    weights, cosines, sines, cosine_squares, products
        Sums over the observations: of their weights, and of the weighted cosines,
        sines, squares of cosines, and products of cosine and sine.
    values, value_cosines, value_sines, value_squares
        The same of the observed values, and of their products with cosine, sine and
        themselves.
    """

    frequency: float
    weights: float = 0.0
    cosines: float = 0.0
    sines: float = 0.0
    cosine_squares: float = 0.0
    products: float = 0.0
    values: float = 0.0
    value_cosines: float = 0.0
    value_sines: float = 0.0
    value_squares: float = 0.0

    def add(self, at: float, value: float, weight: float, *, kept: float) -> None:
        """Add an observation; earlier ones keep the share ``kept`` of their weight."""
        angle = 2 * math.pi * at * self.frequency
        cosine, sine = math.cos(angle), math.sin(angle)
        self.weights = self.weights * kept + weight
        self.cosines = self.cosines * kept + weight * cosine
        self.sines = self.sines * kept + weight * sine
        self.cosine_squares = self.cosine_squares * kept + weight * cosine * cosine
        self.products = self.products * kept + weight * cosine * sine
        self.values = self.values * kept + weight * value
        self.value_cosines = self.value_cosines * kept + weight * value * cosine
        self.value_sines = self.value_sines * kept + weight * value * sine
        self.value_squares = self.value_squares * kept + weight * value * value

    def solve(self) -> tuple[float, float, float]:
        """Return the mean and the coefficients of the cosine and the sine.

        The normal equations, with the prior added to their diagonal, are solved by
        Cramer's rule.
        """
        a, b, c = self.weights + _MEAN_PRECISION, self.cosines, self.sines
        d, e = self.cosine_squares + _AMPLITUDE_PRECISION, self.products
        f = self.weights - self.cosine_squares + _AMPLITUDE_PRECISION
        x, y, z = self.values, self.value_cosines, self.value_sines
        m11, m12, m13 = d * f - e * e, c * e - b * f, b * e - c * d
        m22, m23, m33 = a * f - c * c, b * c - a * e, a * d - b * b
        determinant = a * m11 + b * m12 + c * m13
        return (
            (m11 * x + m12 * y + m13 * z) / determinant,
            (m12 * x + m22 * y + m23 * z) / determinant,
            (m13 * x + m23 * y + m33 * z) / determinant,
        )

    def compute_error(self) -> float:
        """Return the sum of squared errors, with that of the prior."""
        mean, cosine, sine = self.solve()
        explained = mean * self.values
        explained += cosine * self.value_cosines + sine * self.value_sines
        return self.value_squares - explained


@dataclass(slots=True)
class LoadForecast:
    """Forecast of one step's own load, from observations of all its tasks.

    Parameters
    ----------
    selected : HarmonicRegression
        The regression that makes the forecast.
    coefficients : tuple of float
        Its mean, less ``PRIOR_LOAD``, and its coefficients of cosine and sine.
    deviation : float
        Load beyond the regression at ``observed_at``.
    observed_at : float
        Monotonic seconds of the newest interval in the regressions.
    pending : list of tuple
        Time, load and variance of the observations of the current interval.
    """

    regressions: tuple[HarmonicRegression, ...]
    selected: HarmonicRegression
    coefficients: tuple[float, float, float] = (0.0, 0.0, 0.0)
    deviation: float = 0.0
    observed_at: float = float("-inf")
    pending: list[tuple[float, float, float]] = field(default_factory=list)

    def observe(self, at: float, load: float, variance: float) -> None:
        """Add a load observed at a time, with the variance of its error."""
        if self.pending and at - self.pending[0][0] > INTERVAL_SECONDS:
            self._add_interval()
        self.pending.append((at, load, variance))

    @property
    def mean(self) -> float:
        """Return the expected load over a whole period."""
        return PRIOR_LOAD + self.coefficients[0]

    def describe(self, clock_offset: float) -> LoadCurve:
        """Return the curve of the forecast, by wall time.

        Parameters
        ----------
        clock_offset : float
            Wall time less monotonic time, in seconds.
        """
        mean, cosine, sine = self.coefficients
        frequency = self.selected.frequency
        angle = 2 * math.pi * frequency * clock_offset
        cosine, sine = _rotate(cosine, sine, angle)
        return LoadCurve(frequency, PRIOR_LOAD + mean, cosine, sine)

    def restore(self, curve: LoadCurve, *, clock_offset: float, now: float) -> None:
        """Begin with the curve of an earlier owner, as if one period were observed."""
        angle = -2 * math.pi * curve.frequency * clock_offset
        cosine, sine = _rotate(curve.cosine, curve.sine, angle)
        for point in range(RESTORED_POINTS):
            before = point / RESTORED_POINTS / curve.frequency
            phase = 2 * math.pi * curve.frequency * (now - before)
            load = curve.mean + cosine * math.cos(phase) + sine * math.sin(phase)
            for regression in self.regressions:
                regression.add(
                    now - before, load - PRIOR_LOAD, RESTORED_WEIGHT, kept=1.0
                )
        nearest = min(
            range(len(self.regressions)),
            key=lambda index: abs(FREQUENCIES_HERTZ[index] - curve.frequency),
        )
        self.select(nearest)
        self.coefficients = self.selected.solve()
        self.observed_at = now

    def predict(self, at: float) -> float:
        """Return the expected load at a time."""
        ahead = max(0.0, at - self.observed_at)
        return self._evaluate(at) + self.deviation * _fade(ahead)

    def find_peak(self, start: float, end: float) -> float:
        """Return the highest expected load between two times."""
        steps = max(1, round((end - start) / PEAK_STEP_SECONDS))
        length = (end - start) / steps
        return max(self.predict(start + step * length) for step in range(steps + 1))

    def select(self, index: int) -> None:
        """Use the regression with a given index from now on."""
        if self.selected is not self.regressions[index]:
            self.selected = self.regressions[index]
            self.coefficients = self.selected.solve()

    def _evaluate(self, at: float) -> float:
        mean, cosine, sine = self.coefficients
        angle = 2 * math.pi * at * self.selected.frequency
        return PRIOR_LOAD + mean + cosine * math.cos(angle) + sine * math.sin(angle)

    def _add_interval(self) -> None:
        """Add the median of the pending observations to the regressions."""
        at = sum(entry[0] for entry in self.pending) / len(self.pending)
        load = median(entry[1] for entry in self.pending)
        variance = min(entry[2] for entry in self.pending) / len(self.pending)
        weight = NOISE_VARIANCE / (NOISE_VARIANCE + variance)
        self.pending.clear()
        elapsed = max(0.0, at - self.observed_at)
        kept = math.exp(-elapsed / MEMORY_SECONDS)
        for regression in self.regressions:
            regression.add(at, load - PRIOR_LOAD, weight, kept=kept)
        self.coefficients = self.selected.solve()
        carried = self.deviation * _fade(elapsed)
        unexplained = load - self._evaluate(at)
        self.deviation = carried + DEVIATION_GAIN * weight * (unexplained - carried)
        self.observed_at = at


def _rotate(cosine: float, sine: float, angle: float) -> tuple[float, float]:
    """Return the coefficients of a curve on a time axis that is shifted by an angle."""
    return (
        cosine * math.cos(angle) - sine * math.sin(angle),
        cosine * math.sin(angle) + sine * math.cos(angle),
    )


def make_forecast() -> LoadForecast:
    """Return a forecast without observations."""
    regressions = tuple(HarmonicRegression(each) for each in FREQUENCIES_HERTZ)
    return LoadForecast(regressions, regressions[0])


def select_periods(forecasts: Collection[LoadForecast]) -> None:
    """Choose the period of each forecast by the observations of all of them.

    Callers often cause the loads of all steps in one rhythm, and a single step has too
    few observations in its first seconds. A step whose own observations speak clearly
    for another period gets that one.
    """
    errors = {
        id(forecast): [each.compute_error() for each in forecast.regressions]
        for forecast in forecasts
        if forecast.observed_at > float("-inf")
    }
    if not errors:
        return
    totals = [sum(column) for column in zip(*errors.values(), strict=True)]
    common = min(range(len(totals)), key=totals.__getitem__)
    for forecast in forecasts:
        own = errors.get(id(forecast))
        if own is None:
            forecast.select(common)
            continue
        best = min(range(len(own)), key=own.__getitem__)
        is_own = own[common] - own[best] > OWN_PERIOD_EVIDENCE * NOISE_VARIANCE
        forecast.select(best if is_own else common)


def _fade(elapsed: float) -> float:
    return math.exp(-elapsed / DEVIATION_SECONDS)

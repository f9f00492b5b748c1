"""How much work of each image that fills adds to the pressure on serving images.

Each pair has a weight and a variance. An observed pressure is split over the images
beside it by a Kalman filter with a diagonal covariance (Kalman, 1960), so that few
observations of a new pair move its weight far, and many settle it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..core.ids import KindId, Seconds

# of a pair of images that was never seen side by side
PRIOR_WEIGHT = 0.8
PRIOR_VARIANCE = 1.0
# of a pair that an earlier owner had learned
RESTORED_VARIANCE = 0.1
# of a pressure, by what isn't reported: the own load of a serving task
NOISE_VARIANCE = 0.015
# by how much a weight may have moved in a second
DRIFT_VARIANCE_PER_SECOND = 0.004
WEIGHT_MAX = 50.0
# standard deviations between a weight and its bound
BOUND_DEVIATIONS = 0.7


@dataclass(slots=True)
class WeightEstimate:
    """What is known of a pair, and since when."""

    weight: float
    variance: float
    learned_at: Seconds


@dataclass
class ImageWeights:
    """Weights by the serving image and the image that fills beside it."""

    estimates: dict[tuple[KindId, KindId], WeightEstimate] = field(default_factory=dict)

    def find(self, serving: KindId, filling: KindId, now: Seconds) -> float:
        """Return a pair's weight."""
        row = self.estimates.get((serving, filling))
        return PRIOR_WEIGHT if row is None else row.weight

    def estimate_upper_bound(
        self, serving: KindId, filling: KindId, now: Seconds
    ) -> float:
        """Return what a pair's weight hardly exceeds."""
        row = self.estimates.get((serving, filling))
        if row is None:
            return PRIOR_WEIGHT + BOUND_DEVIATIONS * PRIOR_VARIANCE**0.5
        return row.weight + BOUND_DEVIATIONS * _find_variance(row, now) ** 0.5

    def restore(
        self, serving: KindId, filling: KindId, weight: float, now: Seconds
    ) -> None:
        """Take a weight over from an earlier owner."""
        self.estimates[serving, filling] = WeightEstimate(
            weight, RESTORED_VARIANCE, now
        )

    def update(
        self,
        serving: KindId,
        added: float,
        beside: Mapping[KindId, float],
        now: Seconds,
    ) -> None:
        """Take in an observation.

        Parameters
        ----------
        added : float
            Pressure beyond the own load of the serving task.
        beside : mapping of KindId to float
            Share of the processors that each image keeps busy.
        """
        rows = [
            (share, self._get_estimate(serving, filling, now))
            for filling, share in beside.items()
            if share > 0
        ]
        error = added - sum(share * row.weight for share, row in rows)
        total = NOISE_VARIANCE + sum(share**2 * row.variance for share, row in rows)
        for share, row in rows:
            gain = row.variance * share / total
            row.weight = min(WEIGHT_MAX, max(0.0, row.weight + gain * error))
            row.variance *= 1.0 - gain * share

    def _get_estimate(
        self, serving: KindId, filling: KindId, now: Seconds
    ) -> WeightEstimate:
        row = self.estimates.get((serving, filling))
        if row is None:
            row = WeightEstimate(PRIOR_WEIGHT, PRIOR_VARIANCE, now)
            self.estimates[serving, filling] = row
        row.variance, row.learned_at = _find_variance(row, now), now
        return row


def _find_variance(row: WeightEstimate, now: Seconds) -> float:
    drift = DRIFT_VARIANCE_PER_SECOND * max(0.0, now - row.learned_at)
    return min(PRIOR_VARIANCE, row.variance + drift)

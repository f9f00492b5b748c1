"""Learned weights of the interference between serving and best-effort images.

Each pair of images has a weight and a variance. An observed pressure is attributed to
the best-effort images on the worker by a Kalman filter with a diagonal covariance
(Kalman, 1960), so that the weight of a new pair changes quickly with the first
observations and slowly after many.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..core.ids import KindId, Seconds

# estimate for a pair of images that never shared a worker
PRIOR_WEIGHT = 0.8
PRIOR_VARIANCE = 1.0
# variance of a weight that an earlier owner had learned
RESTORED_VARIANCE = 0.1
# variance of an observed pressure less the forecast own load
NOISE_VARIANCE = 0.008
# growth of a weight's variance without observations
DRIFT_VARIANCE_PER_SECOND = 0.004
WEIGHT_MAX = 50.0
# standard deviations between a weight and its upper bound
BOUND_DEVIATIONS = 0.7


@dataclass(slots=True)
class WeightEstimate:
    """Weight of a pair with its variance at the time of the last observation."""

    weight: float
    variance: float
    learned_at: Seconds


@dataclass
class ImageWeights:
    """Weights by serving image and best-effort image."""

    estimates: dict[tuple[KindId, KindId], WeightEstimate] = field(default_factory=dict)

    def find(self, serving: KindId, best_effort: KindId) -> float:
        """Return a pair's weight; the prior for an unknown pair."""
        estimate = self.estimates.get((serving, best_effort))
        return PRIOR_WEIGHT if estimate is None else estimate.weight

    def find_variance(
        self, serving: KindId, best_effort: KindId, now: Seconds
    ) -> float:
        """Return the variance of a pair's weight; the prior's for an unknown pair."""
        estimate = self.estimates.get((serving, best_effort))
        return PRIOR_VARIANCE if estimate is None else _compute_variance(estimate, now)

    def estimate_upper_bound(
        self, serving: KindId, best_effort: KindId, now: Seconds
    ) -> float:
        """Return a value that a pair's weight is unlikely to exceed."""
        estimate = self.estimates.get((serving, best_effort))
        if estimate is None:
            return PRIOR_WEIGHT + BOUND_DEVIATIONS * PRIOR_VARIANCE**0.5
        return (
            estimate.weight + BOUND_DEVIATIONS * _compute_variance(estimate, now) ** 0.5
        )

    def restore(
        self, serving: KindId, best_effort: KindId, weight: float, now: Seconds
    ) -> None:
        """Restore a weight learned by an earlier owner."""
        self.estimates[serving, best_effort] = WeightEstimate(
            weight, RESTORED_VARIANCE, now
        )

    def update(
        self,
        serving: KindId,
        added: float,
        usage_shares: Mapping[KindId, float],
        now: Seconds,
    ) -> None:
        """Update the weights with an observed pressure.

        Parameters
        ----------
        added : float
            Pressure beyond the own load of the serving task.
        usage_shares : mapping of KindId to float
            Share of the processors that each image uses.
        """
        estimates = [
            (share, self._get_estimate(serving, best_effort, now))
            for best_effort, share in usage_shares.items()
            if share > 0
        ]
        error = added - sum(share * estimate.weight for share, estimate in estimates)
        innovation_variance = NOISE_VARIANCE + sum(
            share**2 * estimate.variance for share, estimate in estimates
        )
        for share, estimate in estimates:
            gain = estimate.variance * share / innovation_variance
            estimate.weight = min(WEIGHT_MAX, max(0.0, estimate.weight + gain * error))
            estimate.variance *= 1.0 - gain * share

    def _get_estimate(
        self, serving: KindId, best_effort: KindId, now: Seconds
    ) -> WeightEstimate:
        estimate = self.estimates.get((serving, best_effort))
        if estimate is None:
            estimate = WeightEstimate(PRIOR_WEIGHT, PRIOR_VARIANCE, now)
            self.estimates[serving, best_effort] = estimate
        estimate.variance, estimate.learned_at = _compute_variance(estimate, now), now
        return estimate


def _compute_variance(estimate: WeightEstimate, now: Seconds) -> float:
    drift = DRIFT_VARIANCE_PER_SECOND * max(0.0, now - estimate.learned_at)
    return min(PRIOR_VARIANCE, estimate.variance + drift)

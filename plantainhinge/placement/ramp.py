"""A returning failure domain takes work at a growing rate."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..core.ids import DomainId, Seconds


@dataclass(frozen=True)
class RampLimits:
    """How fast a returning domain may be filled.

    Parameters
    ----------
    first_rate : float
        Assignments a second at first.
    doubling_seconds : float
        Time in which the rate doubles.
    ramp_seconds : float
        Time after which there is no limit.
    """

    first_rate: float = 8.0
    doubling_seconds: float = 5.0
    ramp_seconds: float = 40.0


@dataclass
class _Ramp:
    since: Seconds
    taken: int = 0


@dataclass
class RampTable:
    """When each domain was last seen to come in, and what it took since."""

    limits: RampLimits = RampLimits()
    _ramps: dict[DomainId, _Ramp] = field(default_factory=dict)

    def update(self, domains_in: Iterable[DomainId], now: Seconds) -> None:
        """Note which domains are in; a domain not seen before starts its ramp."""
        present = set(domains_in)
        self._ramps = {d: r for d, r in self._ramps.items() if d in present}
        for domain in present:
            self._ramps.setdefault(domain, _Ramp(now))

    def allows_assignment(self, domain: DomainId, now: Seconds) -> bool:
        """Return whether the domain may be given one more attempt now."""
        ramp = self._ramps.get(domain)
        if ramp is None:
            return False
        age = now - ramp.since
        if age >= self.limits.ramp_seconds:
            return True
        return ramp.taken < 1 + count_allowed(self.limits, age)

    def record_assignment(self, domain: DomainId) -> None:
        """Count an assignment."""
        self._ramps[domain].taken += 1


def count_allowed(limits: RampLimits, age: float) -> float:
    """Return the assignments that a ramp allows within its first ``age`` seconds.

    The integral of ``first_rate * 2 ** (t / doubling_seconds)`` from 0 to ``age``.
    """
    growth = 2.0 ** (age / limits.doubling_seconds) - 1.0
    return limits.first_rate * limits.doubling_seconds / math.log(2.0) * growth

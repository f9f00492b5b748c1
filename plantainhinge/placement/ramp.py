"""Limit on the rate of assignments to a failure domain that returns to service.

The allowed rate grows exponentially until the limit ends.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..core.ids import DomainId, Seconds


@dataclass(frozen=True)
class RampLimits:
    """Rate and duration of the ramp of a returning domain.

    Parameters
    ----------
    first_rate : float
        Initial number of assignments per second.
    doubling_seconds : float
        Time in which the rate doubles.
    ramp_seconds : float
        Time after which the rate is no longer limited.
    """

    first_rate: float = 8.0
    doubling_seconds: float = 5.0
    ramp_seconds: float = 40.0


@dataclass
class _Ramp:
    since: Seconds
    assigned: int = 0


@dataclass
class RampTable:
    """Start of the ramp of each domain in service, and its assignments since then."""

    limits: RampLimits = RampLimits()
    _ramps: dict[DomainId, _Ramp] = field(default_factory=dict)

    def update(self, domains_in: Iterable[DomainId], now: Seconds) -> None:
        """Start a ramp for each new domain; remove those of domains out of service."""
        current = set(domains_in)
        self._ramps = {d: r for d, r in self._ramps.items() if d in current}
        for domain in current:
            self._ramps.setdefault(domain, _Ramp(now))

    def allows_assignment(self, domain: DomainId, now: Seconds) -> bool:
        """Return whether the domain may get another attempt.

        False if it is out of service.
        """
        ramp = self._ramps.get(domain)
        if ramp is None:
            return False
        age = now - ramp.since
        if age >= self.limits.ramp_seconds:
            return True
        return ramp.assigned < 1 + count_allowed(self.limits, age)

    def record_assignment(self, domain: DomainId) -> None:
        """Count an assignment to a domain."""
        self._ramps[domain].assigned += 1


def count_allowed(limits: RampLimits, age: float) -> float:
    """Return the assignments that a ramp allows within its first ``age`` seconds.

    This is the integral of ``first_rate * 2 ** (t / doubling_seconds)`` from 0 to
    ``age``.
    """
    growth = 2.0 ** (age / limits.doubling_seconds) - 1.0
    return limits.first_rate * limits.doubling_seconds / math.log(2.0) * growth

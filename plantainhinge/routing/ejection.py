"""Ejecting targets that fail, probing them, and starting them slowly."""

from collections.abc import Callable, Sequence

from ..core.ids import Seconds
from ..core.registry import Registry
from .targets import TargetRow, count_connections

FAILURES_TO_EJECT = 3
MIN_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
RAMP_SECONDS = 5.0
EJECTED_MAX_RATIO = 0.5

Ejection = Callable[[TargetRow, Seconds, float], None]
EJECTIONS: Registry[Ejection] = Registry("ejection")


@EJECTIONS.register("none")
def eject_never(row: TargetRow, now: Seconds, draw: float) -> None:
    """Eject no target."""


@EJECTIONS.register("consecutive")
def eject_after_failures(row: TargetRow, now: Seconds, draw: float) -> None:
    """Count a failure; eject at the third in a row, or when a probe fails.

    Parameters
    ----------
    draw : float
        Uniform in [0, 1); spreads the probes of several gateways.
    """
    row.consecutive_failures += 1
    probing = row.ejected_until is not None
    if row.consecutive_failures < FAILURES_TO_EJECT and not probing:
        return
    longest = min(MAX_EJECTION_SECONDS, MIN_EJECTION_SECONDS * 2**row.ejections)
    row.ejections += 1
    row.ejected_until = Seconds(now + longest * (0.5 + draw))


def record_success(row: TargetRow, now: Seconds) -> None:
    """Count a good answer; a target that was ejected starts slowly."""
    row.consecutive_failures = 0
    if row.ejected_until is not None:
        row.ejected_until = None
        row.ramp_started_at = now
    elif row.ramp_started_at is None:
        row.ejections = 0


def list_available(
    rows: Sequence[TargetRow], *, limit: int, hard: int, batch: bool, now: Seconds
) -> list[TargetRow]:
    """Return the targets that may get one more request of this gateway.

    A target that said it is leaving gets none. Ejection is overruled when it would
    leave less than half of the targets.

    Parameters
    ----------
    limit, hard : int
        The soft and the hard bound on this gateway's connections at a target.
    """
    ejected = sum(1 for row in rows if row.ejected_until is not None)
    overruled = ejected > len(rows) * EJECTED_MAX_RATIO
    return [
        row
        for row in rows
        if row.in_flight < limit
        and not row.leaving
        and count_connections(row, now) < hard
        and row.in_flight < _compute_max_in_flight(row, limit, now, overruled)
        and (not batch or row.batch_in_flight < row.batch_permits)
    ]


def _compute_max_in_flight(
    row: TargetRow, limit: int, now: Seconds, overruled: bool
) -> int:
    if row.ejected_until is not None and not overruled:
        return 1 if now >= row.ejected_until else 0
    if row.ramp_started_at is None:
        return limit
    progress = (now - row.ramp_started_at) / RAMP_SECONDS
    if progress >= 1.0:
        row.ramp_started_at = None
        return limit
    return max(1, int(limit * progress))

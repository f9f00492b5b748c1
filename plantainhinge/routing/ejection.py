"""Outlier ejection: eject failing targets, probe them, and ramp them up again."""

from collections.abc import Callable, Sequence

from ..core.ids import Seconds
from ..core.registry import Registry
from .targets import TargetRow, count_connections

FAILURES_TO_EJECT = 3
INITIAL_EJECTION_SECONDS = 1.0
EJECTION_SECONDS_MAX = 30.0
RAMP_SECONDS = 5.0
EJECTED_RATIO_MAX = 0.5

Ejection = Callable[[TargetRow, Seconds, float], None]
EJECTIONS: Registry[Ejection] = Registry("ejection")


@EJECTIONS.register("none")
def eject_never(row: TargetRow, now: Seconds, jitter: float) -> None:
    """Never eject a target."""


@EJECTIONS.register("consecutive")
def eject_after_failures(row: TargetRow, now: Seconds, jitter: float) -> None:
    """Record a failure; eject the target after several in a row or a failed probe.

    Each further ejection lasts twice as long as the one before, up to a bound.

    Parameters
    ----------
    jitter : float
        Uniform in [0, 1); keeps gateways from probing a target at the same moment.
    """
    row.consecutive_failures += 1
    probing = row.ejected_until is not None
    if row.consecutive_failures < FAILURES_TO_EJECT and not probing:
        return
    seconds = min(EJECTION_SECONDS_MAX, INITIAL_EJECTION_SECONDS * 2**row.ejections)
    row.ejections += 1
    row.ejected_until = Seconds(now + seconds * (0.5 + jitter))


def record_success(row: TargetRow, now: Seconds) -> None:
    """Record a successful response; a target that was ejected starts its ramp."""
    row.consecutive_failures = 0
    if row.ejected_until is not None:
        row.ejected_until = None
        row.ramp_started_at = now
    elif row.ramp_started_at is None:
        row.ejections = 0


def list_available(
    rows: Sequence[TargetRow],
    *,
    max_in_flight: int,
    max_connections: int,
    batch: bool,
    now: Seconds,
) -> list[TargetRow]:
    """Return the targets that may get one more request from this gateway.

    A target that reported it is leaving gets none. Ejections are ignored if they
    would leave less than half of the targets.

    Parameters
    ----------
    max_in_flight, max_connections : int
        The most requests in flight and the most connections of this gateway at
        one target; the latter include connections that were abandoned.
    """
    ejected = sum(1 for row in rows if row.ejected_until is not None)
    ignore_ejections = ejected > len(rows) * EJECTED_RATIO_MAX
    return [
        row
        for row in rows
        if row.in_flight < max_in_flight
        and not row.leaving
        and count_connections(row, now) < max_connections
        and row.in_flight
        < _compute_max_in_flight(row, max_in_flight, now, ignore_ejections)
        and (not batch or row.batch_in_flight < row.batch_permits)
    ]


def _compute_max_in_flight(
    row: TargetRow, max_in_flight: int, now: Seconds, ignore_ejections: bool
) -> int:
    if row.ejected_until is not None and not ignore_ejections:
        return 1 if now >= row.ejected_until else 0
    if row.ramp_started_at is None:
        return max_in_flight
    progress = (now - row.ramp_started_at) / RAMP_SECONDS
    if progress >= 1.0:
        row.ramp_started_at = None
        return max_in_flight
    return max(1, int(max_in_flight * progress))

"""The targets a gateway knows and what it has in flight at each."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..core.ids import DomainId, ServiceId, TargetId
from ..core.messages import Target

LATENCY_WEIGHT = 0.2
FIRST_LATENCY_SECONDS = 0.005


@dataclass
class TargetRow:
    """One target as this gateway sees it.

    Parameters
    ----------
    in_flight : int
        Requests of this gateway that the target has not answered.
    reported : int
        Requests in flight over all gateways, by the target's last answer.
    latency : float
        Moving average of seconds from send to whole answer.
    """

    target: Target
    in_flight: int = 0
    reported: int = 0
    latency: float = FIRST_LATENCY_SECONDS
    leaving: bool = False


@dataclass
class TargetTable:
    """Targets by service and id."""

    rows: dict[ServiceId, dict[TargetId, TargetRow]] = field(default_factory=dict)

    def replace(
        self, service: ServiceId, domain: DomainId, targets: Iterable[Target]
    ) -> None:
        """Set the targets of a service in one failure domain."""
        known = self.rows.setdefault(service, {})
        fresh = {target.target: target for target in targets}
        for name, row in list(known.items()):
            if row.target.domain == domain and name not in fresh:
                del known[name]
        for name, target in fresh.items():
            known.setdefault(name, TargetRow(target)).target = target

    def list_open(
        self, service: ServiceId, domains: Iterable[DomainId], limit: int
    ) -> list[TargetRow]:
        """Return the targets in ``domains`` below ``limit`` requests in flight."""
        allowed = set(domains)
        return [
            row
            for row in self.rows.get(service, {}).values()
            if row.in_flight < limit
            and not row.leaving
            and not row.target.leaving
            and row.target.domain in allowed
        ]


def note_sent(row: TargetRow) -> None:
    """Count a request as in flight."""
    row.in_flight += 1


def note_answered(
    row: TargetRow, *, seconds: float, reported: int, leaving: bool
) -> None:
    """Count a whole answer and learn from it."""
    row.in_flight -= 1
    row.reported = reported
    row.leaving = row.leaving or leaving
    row.latency += LATENCY_WEIGHT * (seconds - row.latency)


def note_failed(row: TargetRow) -> None:
    """Count a request that got no whole answer."""
    row.in_flight -= 1

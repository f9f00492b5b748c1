"""The targets that a gateway knows, with its requests in flight and their latency."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..core.ids import DomainId, Seconds, ServiceId, TargetId, WorkerId
from ..core.messages import Target

LATENCY_SMOOTHING_RATIO = 0.2
INITIAL_LATENCY_SECONDS = 0.005
REPORT_EXPIRY_SECONDS = 1.0
LATENCY_EXPIRY_SECONDS = 5.0
ABANDONED_CONNECTION_SECONDS = 10.0


@dataclass
class TargetRow:
    """State of one target from the view of this gateway.

    Parameters
    ----------
    local : bool
        Whether the target is in the gateway's own failure domain.
    slots : int
        Requests that the target runs concurrently.
    batch_permits : int
        Requests of batch kinds that this gateway may have in flight at the target.
    in_flight, batch_in_flight : int
        Requests of this gateway without a result yet: all, and those of batch kinds.
    reported_in_flight : int
        Requests in flight from all gateways, as of the target's last response.
    latency : float
        Moving average of the seconds in which the target responds when idle.
    abandoned_at : list of Seconds
        When connections were abandoned that the target may still hold open.
    consecutive_failures : int
        Failures since the last successful response.
    ejections : int
        Ejections since the target was last healthy; each doubles the next one.
    ejected_until : Seconds or None
        Time of the next probe while the target is ejected; None otherwise.
    ramp_started_at : Seconds or None
        When its ramp began; None once the ramp has ended.
    """

    target: Target
    local: bool = False
    slots: int = 8
    batch_permits: int = 1
    in_flight: int = 0
    batch_in_flight: int = 0
    reported_in_flight: int = 0
    reported_at: Seconds = Seconds(0.0)
    latency: float = INITIAL_LATENCY_SECONDS
    answered_at: Seconds = Seconds(0.0)
    leaving: bool = False
    abandoned_at: list[Seconds] = field(default_factory=list)
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: Seconds | None = None
    ramp_started_at: Seconds | None = None


@dataclass
class ServiceRow:
    """Targets of one service, and what they have in common.

    Parameters
    ----------
    typical_latency : float
        Moving average of the seconds in which an idle target responds, over all
        targets of the service.
    list_versions : dict of DomainId to int
        Version of the last list of targets received from each failure domain.
    """

    targets: dict[TargetId, TargetRow] = field(default_factory=dict)
    typical_latency: float = INITIAL_LATENCY_SECONDS
    list_versions: dict[DomainId, int] = field(default_factory=dict)


@dataclass
class TargetTable:
    """Targets by service and id.

    Parameters
    ----------
    domain : DomainId or None
        The gateway's own failure domain.
    leaving_workers : set of WorkerId
        Workers that the platform's instance list reports as leaving.
    """

    domain: DomainId | None = None
    services: dict[ServiceId, ServiceRow] = field(default_factory=dict)
    leaving_workers: set[WorkerId] = field(default_factory=set)

    def get_service(self, service: ServiceId) -> ServiceRow:
        """Return the row of a service; a new service gets an empty one."""
        row = self.services.get(service)
        if row is None:
            row = self.services[service] = ServiceRow()
        return row

    def replace(
        self,
        service: ServiceId,
        domain: DomainId,
        targets: Iterable[Target],
        *,
        now: Seconds,
    ) -> None:
        """Set the targets of a service in one failure domain.

        A target that joins a service which already has targets is ramped up.
        """
        row = self.get_service(service)
        listed = {target.target: target for target in targets}
        ramp_from = now if row.targets else None
        for name, known in list(row.targets.items()):
            if known.target.domain == domain and name not in listed:
                del row.targets[name]
        for name, target in listed.items():
            if name in row.targets:
                row.targets[name].target = target
                continue
            row.targets[name] = TargetRow(
                target,
                local=target.domain == self.domain,
                latency=row.typical_latency,
                ramp_started_at=ramp_from,
            )

    def list_serving(
        self, service: ServiceId, domains: Iterable[DomainId]
    ) -> list[TargetRow]:
        """Return the targets in ``domains`` that no source reports as leaving."""
        allowed = frozenset(domains)
        row = self.services.get(service)
        if row is None:
            return []
        return [
            target
            for target in row.targets.values()
            if target.target.domain in allowed and not self.is_leaving(target)
        ]

    def is_leaving(self, row: TargetRow) -> bool:
        """Return whether a target is leaving.

        The instance list, the cell's owner or the target itself may report it; one
        of them is enough.
        """
        return (
            row.leaving
            or row.target.leaving
            or row.target.worker in self.leaving_workers
        )


def count_connections(row: TargetRow, now: Seconds) -> int:
    """Return how many connections of this gateway the target may hold open.

    Abandoned ones count for ``ABANDONED_CONNECTION_SECONDS``.
    """
    if row.abandoned_at:
        row.abandoned_at = [
            at for at in row.abandoned_at if now < at + ABANDONED_CONNECTION_SECONDS
        ]
    return row.in_flight + len(row.abandoned_at)


def record_sent(row: TargetRow, *, batch: bool = False) -> None:
    """Count a request that was sent as in flight."""
    row.in_flight += 1
    row.batch_in_flight += batch


def record_settled(row: TargetRow, *, batch: bool = False) -> None:
    """Count a request as no longer in flight."""
    row.in_flight -= 1
    row.batch_in_flight -= batch


def record_abandoned(row: TargetRow, now: Seconds) -> None:
    """Record a connection that was abandoned before its response was complete."""
    row.abandoned_at.append(now)


def record_response(
    row: TargetRow,
    service: ServiceRow,
    *,
    seconds: float,
    reported_in_flight: int,
    leaving: bool,
    now: Seconds,
) -> None:
    """Update load and latency from a complete response that took ``seconds``."""
    idle_latency = seconds / compute_queueing_factor(
        max(row.in_flight - 1, reported_in_flight), row.slots
    )
    row.reported_in_flight = reported_in_flight
    row.reported_at = now
    row.answered_at = now
    row.leaving = row.leaving or leaving
    row.latency += LATENCY_SMOOTHING_RATIO * (idle_latency - row.latency)
    service.typical_latency += (
        LATENCY_SMOOTHING_RATIO / 4 * (idle_latency - service.typical_latency)
    )


def compute_queueing_factor(ahead: float, slots: int) -> float:
    """Return the factor by which ``ahead`` requests in flight delay one more."""
    return max(1.0, (ahead + 1) / slots)


def estimate_response_time(
    row: TargetRow, typical_latency: float, now: Seconds
) -> float:
    """Return the expected seconds until the response to one more request.

    The target's report of its load and its measured latency lose weight with age,
    so that a target that was slow once is tried again.
    """
    ahead = float(row.in_flight)
    age = now - row.reported_at
    if age < REPORT_EXPIRY_SECONDS:
        ahead = max(ahead, row.reported_in_flight * (1.0 - age / REPORT_EXPIRY_SECONDS))
    weight = max(0.0, 1.0 - (now - row.answered_at) / LATENCY_EXPIRY_SECONDS)
    idle_latency = typical_latency + (row.latency - typical_latency) * weight
    load_factor = 1.0 + ahead / row.slots
    return idle_latency * max(load_factor, compute_queueing_factor(ahead, row.slots))

"""The targets a gateway knows and what it has in flight at each."""

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
    """One target as this gateway sees it.

    Parameters
    ----------
    local : bool
        Whether it runs in the gateway's own failure domain.
    slots : int
        Requests that the target runs at once.
    in_flight, batch_in_flight : int
        Requests of this gateway that are not settled, and those of batch kinds.
    reported : int
        Requests in flight over all gateways, by the target's last answer.
    latency : float
        Moving average of seconds that an idle target takes.
    abandoned : list of Seconds
        When connections were given up that the target may still hold open.
    failures : int
        Failures in a row.
    ejected_until : Seconds or None
        Set while the target is ejected.
    ramp_from : Seconds or None
        When its slow start began; None once it has ended.
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
    """What a gateway knows of one service.

    Parameters
    ----------
    typical : float
        Moving average of seconds over the idle targets of the service.
    seen : dict of DomainId to int
        The version of each domain's list that was taken in last.
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
        Workers that the platform's list calls leaving.
    """

    domain: DomainId | None = None
    services: dict[ServiceId, ServiceRow] = field(default_factory=dict)
    leaving_workers: set[WorkerId] = field(default_factory=set)

    def get_service(self, service: ServiceId) -> ServiceRow:
        """Return the row of a service, empty if it is new."""
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

        A target that joins a service in use starts slowly.
        """
        row = self.get_service(service)
        fresh = {target.target: target for target in targets}
        ramp_from = now if row.targets else None
        for name, known in list(row.targets.items()):
            if known.target.domain == domain and name not in fresh:
                del row.targets[name]
        for name, target in fresh.items():
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
        """Return the targets in ``domains`` that no source calls leaving."""
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
        """Return whether the list, the cell's owner or the target itself says so."""
        return (
            row.leaving
            or row.target.leaving
            or row.target.worker in self.leaving_workers
        )


def count_connections(row: TargetRow, now: Seconds) -> int:
    """Return the connections that the target may see from this gateway in use."""
    if row.abandoned_at:
        row.abandoned_at = [
            at for at in row.abandoned_at if now < at + ABANDONED_CONNECTION_SECONDS
        ]
    return row.in_flight + len(row.abandoned_at)


def record_sent(row: TargetRow, *, batch: bool = False) -> None:
    """Count a request as in flight."""
    row.in_flight += 1
    row.batch_in_flight += batch


def record_settled(row: TargetRow, *, batch: bool = False) -> None:
    """Count a request as no longer in flight."""
    row.in_flight -= 1
    row.batch_in_flight -= batch


def record_abandoned(row: TargetRow, now: Seconds) -> None:
    """Remember a connection that was given up before its answer."""
    row.abandoned_at.append(now)


def record_answer(
    row: TargetRow,
    service: ServiceRow,
    *,
    seconds: float,
    reported: int,
    leaving: bool,
    now: Seconds,
) -> None:
    """Learn from a whole answer that took ``seconds``."""
    idle = seconds / compute_queueing_factor(
        max(row.in_flight - 1, reported), row.slots
    )
    row.reported_in_flight = reported
    row.reported_at = now
    row.answered_at = now
    row.leaving = row.leaving or leaving
    row.latency += LATENCY_SMOOTHING_RATIO * (idle - row.latency)
    service.typical_latency += (
        LATENCY_SMOOTHING_RATIO / 4 * (idle - service.typical_latency)
    )


def compute_queueing_factor(ahead: float, slots: int) -> float:
    """Return how many times longer an answer takes behind ``ahead`` others."""
    return max(1.0, (ahead + 1) / slots)


def estimate_response_time(row: TargetRow, typical: float, now: Seconds) -> float:
    """Return the expected seconds until a further request is answered.

    The target's own report and the latency lose their weight with age, so that
    a target once slow is tried again.
    """
    ahead = float(row.in_flight)
    age = now - row.reported_at
    if age < REPORT_EXPIRY_SECONDS:
        ahead = max(ahead, row.reported_in_flight * (1.0 - age / REPORT_EXPIRY_SECONDS))
    trust = max(0.0, 1.0 - (now - row.answered_at) / LATENCY_EXPIRY_SECONDS)
    idle = typical + (row.latency - typical) * trust
    spread = 1.0 + ahead / row.slots
    return idle * max(spread, compute_queueing_factor(ahead, row.slots))

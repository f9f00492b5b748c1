"""The targets a gateway knows and what it has in flight at each."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..core.ids import DomainId, Seconds, ServiceId, TargetId, WorkerId
from ..core.messages import Target

LATENCY_WEIGHT = 0.2
FIRST_LATENCY_SECONDS = 0.005
REPORT_EXPIRY_SECONDS = 1.0
LATENCY_EXPIRY_SECONDS = 5.0
ABANDONED_SECONDS = 10.0


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
    reported: int = 0
    reported_at: Seconds = Seconds(0.0)
    latency: float = FIRST_LATENCY_SECONDS
    answered_at: Seconds = Seconds(0.0)
    leaving: bool = False
    abandoned: list[Seconds] = field(default_factory=list)
    failures: int = 0
    ejections: int = 0
    ejected_until: Seconds | None = None
    ramp_from: Seconds | None = None


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
    typical: float = FIRST_LATENCY_SECONDS
    seen: dict[DomainId, int] = field(default_factory=dict)


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

    def find_service(self, service: ServiceId) -> ServiceRow:
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
        row = self.find_service(service)
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
                latency=row.typical,
                ramp_from=ramp_from,
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
    if row.abandoned:
        row.abandoned = [at for at in row.abandoned if now < at + ABANDONED_SECONDS]
    return row.in_flight + len(row.abandoned)


def note_sent(row: TargetRow, *, batch: bool = False) -> None:
    """Count a request as in flight."""
    row.in_flight += 1
    row.batch_in_flight += batch


def note_settled(row: TargetRow, *, batch: bool = False) -> None:
    """Count a request as no longer in flight."""
    row.in_flight -= 1
    row.batch_in_flight -= batch


def note_abandoned(row: TargetRow, now: Seconds) -> None:
    """Remember a connection that was given up before its answer."""
    row.abandoned.append(now)


def note_answered(
    row: TargetRow,
    service: ServiceRow,
    *,
    seconds: float,
    reported: int,
    leaving: bool,
    now: Seconds,
) -> None:
    """Learn from a whole answer that took ``seconds``."""
    idle = seconds / measure_crowding(max(row.in_flight - 1, reported), row.slots)
    row.reported = reported
    row.reported_at = now
    row.answered_at = now
    row.leaving = row.leaving or leaving
    row.latency += LATENCY_WEIGHT * (idle - row.latency)
    service.typical += LATENCY_WEIGHT / 4 * (idle - service.typical)


def measure_crowding(ahead: float, slots: int) -> float:
    """Return how many times longer an answer takes behind ``ahead`` others."""
    return max(1.0, (ahead + 1) / slots)


def estimate_wait(row: TargetRow, typical: float, now: Seconds) -> float:
    """Return the expected seconds until a further request is answered.

    The target's own report and the latency lose their weight with age, so that
    a target once slow is tried again.
    """
    ahead = float(row.in_flight)
    age = now - row.reported_at
    if age < REPORT_EXPIRY_SECONDS:
        ahead = max(ahead, row.reported * (1.0 - age / REPORT_EXPIRY_SECONDS))
    trust = max(0.0, 1.0 - (now - row.answered_at) / LATENCY_EXPIRY_SECONDS)
    idle = typical + (row.latency - typical) * trust
    spread = 1.0 + ahead / row.slots
    return idle * max(spread, measure_crowding(ahead, row.slots))

"""Service plans: the targets and limits that a gateway uses, computed every tick."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..core.configuration import Configuration
from ..core.ids import (
    DomainId,
    ProcessId,
    RegionId,
    Revision,
    Seconds,
    ServiceId,
    WorkerId,
)
from ..core.messages import Heartbeat, Instance, LoadDigest
from ..core.states import DaemonRole, DomainState, InstanceRole, InstanceState
from .limits import LoadShare, compute_max_connections
from .policy import Policy
from .targets import TargetRow, TargetTable

CONFIRMATION_AGE_SECONDS_MAX = 3.0
TICK_GAP_SECONDS_MAX = 2.0
DIGESTS_MAX = 8
# targets of one service that a gateway requests from all cells of its region
SUBSET_TARGETS = 64


@dataclass(frozen=True)
class ServicePlan:
    """The targets of one service and this gateway's limits at each of them.

    Parameters
    ----------
    max_connections, max_in_flight : int
        The most connections, and the most requests in flight, at one target.
    """

    service: ServiceId
    rows: list[TargetRow]
    max_connections: int = 0
    max_in_flight: int = 0

    @property
    def batch_permits(self) -> int:
        """The most requests of batch kinds in flight, over all targets."""
        return sum(row.batch_permits for row in self.rows)


def plan_service(
    table: TargetTable,
    service: ServiceId,
    configuration: Configuration,
    *,
    region: RegionId,
    gateway: ProcessId,
    live: Iterable[Heartbeat],
    arrivals_per_second: float,
    critical_in_flight: float = 0.0,
    policy: Policy,
) -> ServicePlan:
    """Return the plan of a service, and update the rows of its targets.

    Parameters
    ----------
    gateway : ProcessId
        The gateway that the plan is for.
    live : iterable of Heartbeat
        Newest heartbeats of the processes believed to be alive.
    arrivals_per_second : float
        Requests for the service that arrive at this gateway.
    critical_in_flight : float
        Latency-critical requests for the service that this gateway has in flight on
        average.
    """
    declared = configuration.services[service]
    gateways = list_gateways(live, configuration, region)
    rows = table.list_serving(service, list_open_domains(configuration, region))
    gateway_ids = frozenset({heartbeat.process for heartbeat in gateways} | {gateway})
    max_connections = compute_max_connections(
        declared.connections, configuration.limits.gateways
    )
    load = compute_load_share(service, gateway, gateways, arrivals_per_second)
    critical_slots = critical_in_flight / load.weight / max(1, len(rows))
    permits = policy.count_batch_permits(declared.slots, critical_slots)
    for row in rows:
        row.slots = declared.slots
        row.batch_permits = policy.split_batch_permits(
            permits, row.target.target, gateway, gateway_ids
        )
    max_in_flight = policy.split(declared.slots, max_connections, load)
    return ServicePlan(
        service=service,
        rows=rows,
        max_connections=max_connections,
        max_in_flight=max_in_flight,
    )


def list_open_domains(configuration: Configuration, region: RegionId) -> list[DomainId]:
    """Return the failure domains of a region that are in service."""
    return [
        name
        for name, domain in configuration.domains.items()
        if domain.region == region and domain.state is DomainState.IN
    ]


def list_gateways(
    live: Iterable[Heartbeat], configuration: Configuration, region: RegionId
) -> list[Heartbeat]:
    """Return the heartbeats of the gateways in a region."""
    return [
        heartbeat
        for heartbeat in live
        if heartbeat.role is DaemonRole.GATEWAY
        and heartbeat.domain in configuration.domains
        and configuration.domains[heartbeat.domain].region == region
    ]


def compute_load_share(
    service: ServiceId,
    gateway: ProcessId,
    gateways: Iterable[Heartbeat],
    own_arrivals: float,
) -> LoadShare:
    """Return a gateway's share of a service's load, from its peers' heartbeats."""
    peers = [heartbeat for heartbeat in gateways if heartbeat.process != gateway]
    peer_arrivals = sum(
        digest.arrivals_per_second
        for heartbeat in peers
        for digest in heartbeat.loads
        if digest.service == service
    )
    return LoadShare(
        own=own_arrivals, total=own_arrivals + peer_arrivals, gateways=len(peers) + 1
    )


def build_load_digests(
    in_flight: Mapping[ServiceId, int], arrivals: Mapping[ServiceId, float]
) -> list[LoadDigest]:
    """Return the load digests of the ``DIGESTS_MAX`` busiest services."""
    busiest = sorted(arrivals, key=lambda name: arrivals[name], reverse=True)
    return [
        LoadDigest(
            service=name,
            in_flight=in_flight.get(name, 0),
            arrivals_per_second=round(arrivals[name], 1),
        )
        for name in busiest[:DIGESTS_MAX]
    ]


def update_leaving_workers(table: TargetTable, instances: Iterable[Instance]) -> None:
    """Set which workers are leaving according to the platform's instance list."""
    table.leaving_workers = {
        WorkerId(instance.instance)
        for instance in instances
        if instance.role is InstanceRole.WORKER
        and instance.state is InstanceState.LEAVING
    }


def may_route(
    revision: Revision, age: float | None, peers: Iterable[Heartbeat]
) -> bool:
    """Return whether requests may be routed by the current configuration.

    A configuration that was not confirmed within ``CONFIRMATION_AGE_SECONDS_MAX`` may
    be used as long as no peer reports a newer revision. Requests are therefore still
    routed while the log is down for every process, when no newer configuration can
    have been accepted.

    Parameters
    ----------
    age : float or None
        Seconds since the configuration was last confirmed as the newest; None if
        it never was.
    """
    if age is not None and age < CONFIRMATION_AGE_SECONDS_MAX:
        return True
    return not any(peer.revision > revision for peer in peers)


@dataclass
class PauseDetector:
    """Detects from the gaps between ticks that the process was paused.

    Parameters
    ----------
    resumed_at : Seconds or None
        Time of the first tick after a pause; None once the configuration was
        confirmed after it or the wait for that timed out.
    """

    last_tick_at: Seconds | None = None
    resumed_at: Seconds | None = None


def record_tick(
    state: PauseDetector, now: Seconds, confirmed_at: Seconds | None
) -> bool:
    """Record a tick; return whether the process may rely on its configuration.

    After a pause the configuration has to be confirmed again, since it may have
    changed meanwhile. If it is not confirmed within
    ``CONFIRMATION_AGE_SECONDS_MAX``, the log is down; ``may_route`` decides then.

    Parameters
    ----------
    confirmed_at : Seconds or None
        Time at which the configuration was last confirmed as the newest.
    """
    if (
        state.last_tick_at is not None
        and now > state.last_tick_at + TICK_GAP_SECONDS_MAX
    ):
        state.resumed_at = now
    state.last_tick_at = now
    if state.resumed_at is None:
        return True
    confirmed = confirmed_at is not None and confirmed_at >= state.resumed_at
    if confirmed or now > state.resumed_at + CONFIRMATION_AGE_SECONDS_MAX:
        state.resumed_at = None
    return state.resumed_at is None


def compute_cell_subset_size(configuration: Configuration, region: RegionId) -> int:
    """Return how many targets to request from each cell of a region."""
    domains = len(list_open_domains(configuration, region))
    return -(-SUBSET_TARGETS // max(1, domains))


def compute_confirmation_age(
    confirmed_at: Seconds | None, now: Seconds
) -> float | None:
    """Return the seconds since the last confirmation, or None if there was none."""
    return None if confirmed_at is None else now - confirmed_at

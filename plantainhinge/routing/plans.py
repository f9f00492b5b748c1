"""What a gateway may use of each service, worked out once a tick."""

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

CONFIRMATION_MAX_AGE_SECONDS = 3.0
MAX_TICK_GAP_SECONDS = 2.0
DIGESTS_MAX = 8
SUBSET_TARGETS = 64


@dataclass(frozen=True)
class ServicePlan:
    """The targets of one service and this gateway's bounds at each.

    Parameters
    ----------
    hard, soft : int
        The most connections, and the most requests in flight, at one target.
    """

    service: ServiceId
    rows: list[TargetRow]
    max_connections: int = 0
    max_in_flight: int = 0

    @property
    def batch_permits(self) -> int:
        """Requests of batch kinds that may be in flight over all targets."""
        return sum(row.batch_permits for row in self.rows)


def plan_service(
    table: TargetTable,
    service: ServiceId,
    configuration: Configuration,
    *,
    region: RegionId,
    me: ProcessId,
    live: Iterable[Heartbeat],
    own_arrivals: float,
    own_lookups: float = 0.0,
    policy: Policy,
) -> ServicePlan:
    """Return what this gateway may use of a service.

    Parameters
    ----------
    own_arrivals : float
        Requests a second that come to this gateway.
    own_lookups : float
        Latency-critical requests that it has in flight on average.
    """
    declared = configuration.services[service]
    gateways = list_gateways(live, configuration, region)
    rows = table.list_serving(service, list_open_domains(configuration, region))
    ids = frozenset({heartbeat.process for heartbeat in gateways} | {me})
    hard = compute_max_connections(declared.connections, configuration.limits.gateways)
    load = compute_load_share(service, me, gateways, own_arrivals)
    lookups = own_lookups / load.weight / max(1, len(rows))
    permits = policy.size_batch(declared.slots, lookups)
    for row in rows:
        row.slots = declared.slots
        row.batch_permits = policy.split_batch(permits, row.target.target, me, ids)
    soft = policy.split(declared.slots, hard, load)
    return ServicePlan(
        service=service, rows=rows, max_connections=hard, max_in_flight=soft
    )


def list_open_domains(configuration: Configuration, region: RegionId) -> list[DomainId]:
    """Return the failure domains of a region that take work."""
    return [
        name
        for name, domain in configuration.domains.items()
        if domain.region == region and domain.state is DomainState.IN
    ]


def list_gateways(
    live: Iterable[Heartbeat], configuration: Configuration, region: RegionId
) -> list[Heartbeat]:
    """Return the gateways of a region among the live processes."""
    return [
        heartbeat
        for heartbeat in live
        if heartbeat.role is DaemonRole.GATEWAY
        and heartbeat.domain in configuration.domains
        and configuration.domains[heartbeat.domain].region == region
    ]


def compute_load_share(
    service: ServiceId, me: ProcessId, gateways: Iterable[Heartbeat], own: float
) -> LoadShare:
    """Return this gateway's part of a service's load, by its peers' digests."""
    peers = [heartbeat for heartbeat in gateways if heartbeat.process != me]
    others = sum(
        digest.arrivals_per_second
        for heartbeat in peers
        for digest in heartbeat.loads
        if digest.service == service
    )
    return LoadShare(own=own, total=own + others, gateways=len(peers) + 1)


def build_load_digests(
    in_flight: Mapping[ServiceId, int], arrivals: Mapping[ServiceId, float]
) -> list[LoadDigest]:
    """Return the digests for a heartbeat, the busiest services only."""
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
    """Take from the platform's list which workers are leaving."""
    table.leaving_workers = {
        WorkerId(instance.instance)
        for instance in instances
        if instance.role is InstanceRole.WORKER
        and instance.state is InstanceState.LEAVING
    }


def may_route(
    revision: Revision, age: float | None, peers: Iterable[Heartbeat]
) -> bool:
    """Return whether requests may be routed by the configuration at hand.

    While the log is down for all, the last configuration goes on: nothing newer
    can have been accepted. A gateway that has not confirmed its own for longer
    than the bound and hears of a newer revision must not route by it.

    Parameters
    ----------
    age : float or None
        Seconds since the configuration was last confirmed as the newest.
    """
    if age is not None and age < CONFIRMATION_MAX_AGE_SECONDS:
        return True
    return not any(peer.revision > revision for peer in peers)


@dataclass
class PauseDetector:
    """Whether this process was paused, by the gaps between its ticks.

    Parameters
    ----------
    ticked_at : Seconds or None
        When the last tick was.
    woken_at : Seconds or None
        When a tick came after a pause; None once that no longer matters.
    """

    last_tick_at: Seconds | None = None
    resumed_at: Seconds | None = None


def record_tick(
    state: PauseDetector, now: Seconds, confirmed_at: Seconds | None
) -> bool:
    """Note a tick; return whether the process knows again what it slept through.

    After a pause the configuration has to be confirmed once more. If that does
    not come about within the bound, the log is down, which is another matter.

    Parameters
    ----------
    confirmed_at : Seconds or None
        When the configuration was last confirmed as the newest.
    """
    if (
        state.last_tick_at is not None
        and now > state.last_tick_at + MAX_TICK_GAP_SECONDS
    ):
        state.resumed_at = now
    state.last_tick_at = now
    if state.resumed_at is None:
        return True
    confirmed = confirmed_at is not None and confirmed_at >= state.resumed_at
    if confirmed or now > state.resumed_at + CONFIRMATION_MAX_AGE_SECONDS:
        state.resumed_at = None
    return state.resumed_at is None


def compute_cell_subset_size(configuration: Configuration, region: RegionId) -> int:
    """Return how many targets to ask of each cell of a region."""
    domains = len(list_open_domains(configuration, region))
    return -(-SUBSET_TARGETS // max(1, domains))


def compute_age(confirmed_at: Seconds | None, now: Seconds) -> float | None:
    """Return the seconds since a time, or None if it never was."""
    return None if confirmed_at is None else now - confirmed_at

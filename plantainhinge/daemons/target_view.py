"""Keeps a gateway's view of targets current: target lists, leaving workers, plans."""

from concurrent.futures import Future

from ..adapters.peers_grpc import QUERY_TARGETS
from ..core.configuration import Configuration
from ..core.ids import DomainId, Seconds, ServiceId
from ..core.messages import Heartbeat, QueryTargets, TargetList
from ..routing.plans import (
    compute_cell_subset_size,
    list_open_domains,
    plan_service,
    update_leaving_workers,
)
from ..streams.names import name_cell_stream
from .node import Node
from .permits import PermitPool

LIST_QUERY_PERIOD_SECONDS = 1.0
FAST_LIST_QUERY_PERIOD_SECONDS = 0.25
WARM_UP_TIMEOUT_SECONDS = 10.0


class TargetView:
    """Refreshes the target table and the plans used to route requests."""

    def __init__(self, node: Node, permits: PermitPool) -> None:
        self._node = node
        self._permits = permits
        self._list_query_due = Seconds(0.0)
        self._first_query_at: Seconds | None = None
        self._has_target_list = False

    def step(self, configuration: Configuration, now: Seconds) -> None:
        """Compute new plans, and query the cells for their targets once per period."""
        with self._permits.lock:
            update_leaving_workers(self._permits.table, self._node.instances)
        self._update_plans(configuration, now)
        if now >= self._list_query_due:
            self._list_query_due = Seconds(
                now + self._choose_query_period(configuration)
            )
            self._query_cells(configuration, now)

    def is_warm(self, now: Seconds) -> bool:
        """Return whether a cell has listed targets or the wait for one timed out."""
        if self._first_query_at is None:
            return False
        return (
            self._has_target_list
            or now >= self._first_query_at + WARM_UP_TIMEOUT_SECONDS
        )

    def clear_plans(self, now: Seconds) -> None:
        """Remove all plans, so that nothing is routed until the next step."""
        self._permits.set_plans({}, now)

    def _update_plans(self, configuration: Configuration, now: Seconds) -> None:
        live = self._node.peer_table.list_live(now)
        _, arrivals = self._permits.get_loads(now)
        critical_in_flight = {
            service: self._permits.get_mean_critical_in_flight(service)
            for service in configuration.services
        }
        with self._permits.lock:
            plans = {
                service: plan_service(
                    self._permits.table,
                    service,
                    configuration,
                    region=self._node.settings.region,
                    gateway=self._node.process,
                    live=live,
                    arrivals_per_second=arrivals.get(service, 0.0),
                    critical_in_flight=critical_in_flight[service],
                    policy=self._permits.policy,
                )
                for service in configuration.services
            }
        self._permits.set_plans(plans, now)

    def _choose_query_period(self, configuration: Configuration) -> float:
        """Return the seconds until the next query, fewer if a service has no target."""
        table = self._permits.table
        without_targets = [
            service
            for service in configuration.services
            if not table.get_service(service).targets
        ]
        return (
            FAST_LIST_QUERY_PERIOD_SECONDS
            if without_targets
            else LIST_QUERY_PERIOD_SECONDS
        )

    def _query_cells(self, configuration: Configuration, now: Seconds) -> None:
        self._first_query_at = self._first_query_at or now
        region = self._node.settings.region
        limit = compute_cell_subset_size(configuration, region)
        for domain in list_open_domains(configuration, region):
            owner = self._node.peer_table.find_owner(name_cell_stream(domain), now)
            if owner is None:
                continue
            for service in configuration.services:
                self._query_cell(owner, domain, service, limit)

    def _query_cell(
        self, owner: Heartbeat, domain: DomainId, service: ServiceId, limit: int
    ) -> None:
        versions = self._permits.table.get_service(service).list_versions
        message = QueryTargets(
            cell=domain,
            service=service,
            gateway=self._node.process,
            limit=limit,
            seen=versions.get(domain, 0),
        )
        future = self._node.peers.call(owner.address, QUERY_TARGETS, message)

        def handle_result(done: Future[TargetList], at: Seconds) -> None:
            if done.exception() is None and not done.result().unchanged:
                self._handle_list(service, domain, done.result(), at)

        self._node.executor.add_callback(future, callback=handle_result)

    def _handle_list(
        self, service: ServiceId, domain: DomainId, response: TargetList, now: Seconds
    ) -> None:
        self._has_target_list = True
        table = self._permits.table
        with self._permits.lock:
            table.replace(service, domain, response.targets, now=now)
            table.get_service(service).list_versions[domain] = response.version

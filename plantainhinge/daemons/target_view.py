"""Keeps a gateway's view of targets: lists of cells, leaving workers, plans."""

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
from .places import Places

LISTS_PERIOD_SECONDS = 1.0
FIRST_LISTS_PERIOD_SECONDS = 0.25
WARM_UP_SECONDS = 10.0


class TargetView:
    """Refreshes the tables that requests are routed by."""

    def __init__(self, node: Node, places: Places) -> None:
        self._node = node
        self._places = places
        self._lists_due = Seconds(0.0)
        self._first_query_at: Seconds | None = None
        self._told = False

    def step(self, configuration: Configuration, now: Seconds) -> None:
        """Work out new plans; ask the cells for their targets when it is time."""
        with self._places.lock:
            update_leaving_workers(self._places.table, self._node.instances)
        self._replan(configuration, now)
        if now >= self._lists_due:
            self._lists_due = Seconds(now + self._pick_period(configuration))
            self._query_cells(configuration, now)

    def is_warm(self, now: Seconds) -> bool:
        """Return whether any cell has told its targets, or none did for long."""
        if self._first_query_at is None:
            return False
        return self._told or now >= self._first_query_at + WARM_UP_SECONDS

    def close(self, now: Seconds) -> None:
        """Route nothing until the next step."""
        self._places.set_plans({}, now)

    def _replan(self, configuration: Configuration, now: Seconds) -> None:
        live = self._node.table.list_live(now)
        _, arrivals = self._places.read_loads(now)
        lookups = {
            service: self._places.read_lookups(service)
            for service in configuration.services
        }
        with self._places.lock:
            plans = {
                service: plan_service(
                    self._places.table,
                    service,
                    configuration,
                    region=self._node.settings.region,
                    gateway=self._node.process,
                    live=live,
                    arrivals_per_second=arrivals.get(service, 0.0),
                    critical_in_flight=lookups[service],
                    policy=self._places.policy,
                )
                for service in configuration.services
            }
        self._places.set_plans(plans, now)

    def _pick_period(self, configuration: Configuration) -> float:
        """Return seconds to the next round, fewer while a service has no target."""
        table = self._places.table
        without = [
            s for s in configuration.services if not table.get_service(s).targets
        ]
        return FIRST_LISTS_PERIOD_SECONDS if without else LISTS_PERIOD_SECONDS

    def _query_cells(self, configuration: Configuration, now: Seconds) -> None:
        self._first_query_at = self._first_query_at or now
        region = self._node.settings.region
        limit = compute_cell_subset_size(configuration, region)
        for domain in list_open_domains(configuration, region):
            owner = self._node.table.find_owner(name_cell_stream(domain), now)
            if owner is None:
                continue
            for service in configuration.services:
                self._query_cell(owner, domain, service, limit)

    def _query_cell(
        self, owner: Heartbeat, domain: DomainId, service: ServiceId, limit: int
    ) -> None:
        seen = self._places.table.get_service(service).list_versions
        message = QueryTargets(
            cell=domain,
            service=service,
            gateway=self._node.process,
            limit=limit,
            seen=seen.get(domain, 0),
        )
        future = self._node.peers.call(owner.address, QUERY_TARGETS, message)

        def finish(done: Future[TargetList], at: Seconds) -> None:
            if done.exception() is None and not done.result().unchanged:
                self._take_list(service, domain, done.result(), at)

        self._node.commander.follow(future, then=finish)

    def _take_list(
        self, service: ServiceId, domain: DomainId, answer: TargetList, now: Seconds
    ) -> None:
        self._told = True
        table = self._places.table
        with self._places.lock:
            table.replace(service, domain, answer.targets, now=now)
            table.get_service(service).list_versions[domain] = answer.version

"""Measures the processor time of choosing a target as the site grows.

Run with ``python -m bench.request_choice --seed 1``. A gateway receives a subset of
bounded size of each cell's targets, so that neither its table nor the time of a choice
grows with the site.
"""

import argparse
import statistics
import time

from plantainhinge.core.configuration import Configuration, Domain, Service
from plantainhinge.core.ids import DomainId, Seconds, ServiceId
from plantainhinge.core.messages import QueryTargets, Target
from plantainhinge.core.states import TaskClass
from plantainhinge.daemons.permits import PermitPool
from plantainhinge.routing.choice import CHOICES
from plantainhinge.routing.plans import compute_cell_subset_size, plan_service
from plantainhinge.routing.policy import build_policy
from plantainhinge.routing.target_lists import answer_target_query
from plantainhinge.routing.targets import TargetTable

SERVICE = ServiceId("formulas")
REGIONS_BY_SITE_SIZE = {25: 1, 500: 1, 12_000: 7}
DOMAINS_PER_REGION = 3
CHOICES_PER_RUN = 5000


def build_permits(targets: int, regions: int, choice: str, seed: int) -> PermitPool:
    """Build the permit pool of a gateway in a site with ``targets`` targets."""
    configuration = Configuration(
        schema=1,
        domains={
            f"{region}-{number}": Domain(region=f"r{region}")
            for region in range(regions)
            for number in range(DOMAINS_PER_REGION)
        },
        teams={},
        services={SERVICE: Service(team="t", replicas=targets, task={})},
        kinds={},
    )
    table = TargetTable(DomainId("0-0"))
    per_cell = targets // regions // DOMAINS_PER_REGION + 1
    limit = compute_cell_subset_size(configuration, "r0")
    for number in range(DOMAINS_PER_REGION):
        domain = DomainId(f"0-{number}")
        query = QueryTargets(cell=domain, service=SERVICE, gateway="g", limit=limit)
        cell = [_build_target(domain, n) for n in range(per_cell)]
        listed = answer_target_query(cell, query)
        table.replace(SERVICE, domain, listed.targets, now=Seconds(0.0))
    for row in table.get_service(SERVICE).targets.values():
        row.ramp_started_at = None
    policy = build_policy(choice=choice)
    permits = PermitPool(table, policy, threads=64, seed=seed)
    plan = plan_service(
        table,
        SERVICE,
        configuration,
        region="r0",
        gateway="g",
        live=[],
        arrivals_per_second=0.0,
        policy=policy,
    )
    permits.set_plans({SERVICE: plan}, Seconds(0.0))
    return permits


def _build_target(domain: DomainId, number: int) -> Target:
    return Target(
        target=f"{domain}-t{number}",
        service=SERVICE,
        address=f"{domain}:{number}",
        domain=domain,
        rack="rack",
        worker=f"{domain}-w{number}",
    )


def measure_choice(permits: PermitPool) -> float:
    """Return the microseconds for acquiring and releasing one permit."""
    started_at = time.perf_counter()
    for number in range(CHOICES_PER_RUN):
        now = Seconds(number / 1000)
        row = permits.try_acquire(SERVICE, TaskClass.LATENCY_CRITICAL, set(), now=now)
        assert row is not None
        permits.release(row, TaskClass.LATENCY_CRITICAL, now=now, abandoned=False)
    return (time.perf_counter() - started_at) / CHOICES_PER_RUN * 1e6


def main() -> None:
    """Print one line per site size and choice policy."""
    parser = argparse.ArgumentParser(prog="python -m bench.request_choice")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=5)
    options = parser.parse_args()
    print(f"seed {options.seed}, {options.runs} runs, medians, us a choice")
    for targets, regions in REGIONS_BY_SITE_SIZE.items():
        for choice in CHOICES:
            permits = build_permits(targets, regions, choice, options.seed)
            known = len(permits.table.get_service(SERVICE).targets)
            microseconds = statistics.median(
                [measure_choice(permits) for _ in range(options.runs)]
            )
            print(f"site {targets:6}  known {known:3}  {choice:18} {microseconds:6.1f}")


if __name__ == "__main__":
    main()

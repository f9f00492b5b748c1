"""Compares policies of the request path with baselines, by discrete-event simulation.

Nine gateways with the real tables and policies send requests to 25 simulated targets
of 8 slots, on simulated time. Run with ``python -m bench.request_policies --seed 1``.
"""

import argparse
import heapq
import itertools
import random
import statistics
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from plantainhinge.core.ids import DomainId, Seconds, ServiceId, TargetId
from plantainhinge.core.messages import Target, TargetResponse
from plantainhinge.core.states import TaskClass
from plantainhinge.daemons.permits import PermitPool
from plantainhinge.routing.admission import compute_max_queue_wait
from plantainhinge.routing.limits import LoadShare, compute_max_connections
from plantainhinge.routing.plans import ServicePlan
from plantainhinge.routing.policy import build_policy
from plantainhinge.routing.targets import TargetRow, TargetTable

SERVICE = ServiceId("formulas")
GATEWAYS, GATEWAYS_MAX, TARGETS, DOMAINS = 9, 16, 25, 3
SLOTS, CONNECTIONS_PER_TARGET = 8, 64
LOCAL_ROUND_TRIP_SECONDS, REMOTE_ROUND_TRIP_SECONDS = 0.001, 0.003
PLAN_INTERVAL_SECONDS = 0.05
WARM_UP_SECONDS = 2.0
CRITICAL, BATCH = TaskClass.LATENCY_CRITICAL, TaskClass.BATCH


@dataclass(frozen=True)
class Load:
    """Requests of one class: their rate, mean service time and deadline."""

    task_class: TaskClass
    per_second: float
    service_seconds: float
    deadline_seconds: float


@dataclass(frozen=True)
class Scenario:
    """The load on the site, and the faults of its targets.

    Parameters
    ----------
    service_time_factor : callable
        Factor on the service time, by the number of the target and the time.
    is_out : callable
        Whether the failure domain of a target is out, by its number and the time.
    failing_targets : frozenset of int
        Numbers of the targets that respond to every request with an immediate error.
    """

    loads: tuple[Load, ...]
    seconds: float = 12.0
    service_time_factor: Callable[[int, float], float] = lambda number, now: 1.0
    is_out: Callable[[int, float], bool] = lambda number, now: False
    failing_targets: frozenset[int] = frozenset()


@dataclass
class SimulatedTarget:
    """A target with eight slots and a queue for the requests that exceed them."""

    number: int
    running: int = 0
    queue: list[Any] = field(default_factory=list)
    peak_requests: int = 0


@dataclass
class Result:
    """What callers saw after the warm-up; the last two counts cover the whole run."""

    latencies: dict[TaskClass, list[float]]
    done: dict[TaskClass, int]
    failed: int = 0
    rejected: int = 0
    late: int = 0
    peak_requests_at_target: int = 0
    sent_to_out_domain: int = 0


class Simulation:
    """Event queue, gateways and targets of one run of a scenario under one policy."""

    def __init__(
        self, scenario: Scenario, policy_names: dict[str, str], seed: int
    ) -> None:
        self.scenario = scenario
        self.random = random.Random(seed)
        self.now = 0.0
        self.events: list[Any] = []
        self.event_numbers = itertools.count()
        self.targets = [SimulatedTarget(number) for number in range(TARGETS)]
        self.policy = build_policy(**policy_names)
        self.gateways = [self._build_gateway(n, seed) for n in range(GATEWAYS)]
        self.result = Result({CRITICAL: [], BATCH: []}, {CRITICAL: 0, BATCH: 0})
        self.arrivals = [0] * GATEWAYS

    def run(self) -> Result:
        """Run the scenario, with at most 5 s after its end for open requests."""
        for load in self.scenario.loads:
            self._schedule_arrival(load)
        self.schedule(0.0, self._replan)
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            if self.now > self.scenario.seconds + 5.0:
                break
            action(*arguments)
        self.result.peak_requests_at_target = max(t.peak_requests for t in self.targets)
        return self.result

    def schedule(
        self, time: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        """Schedule a call of ``action`` at a simulated time."""
        heapq.heappush(self.events, (time, next(self.event_numbers), action, arguments))

    def _build_gateway(self, number: int, seed: int) -> PermitPool:
        table = TargetTable(DomainId(str(number % DOMAINS)))
        return PermitPool(table, self.policy, threads=64, seed=seed * 100 + number)

    def _replan(self) -> None:
        live = frozenset(f"g{n}" for n in range(GATEWAYS))
        max_connections = compute_max_connections(CONNECTIONS_PER_TARGET, GATEWAYS_MAX)
        for number, permits in enumerate(self.gateways):
            for domain in range(DOMAINS):
                listed = [self._build_target(t) for t in self._list_domain(domain)]
                permits.table.replace(
                    SERVICE, DomainId(str(domain)), listed, now=self.now
                )
            rows = list(permits.table.services[SERVICE].targets.values())
            critical_in_flight = (
                permits.get_mean_critical_in_flight(SERVICE) * GATEWAYS / TARGETS
            )
            batch = self.policy.count_batch_permits(SLOTS, critical_in_flight)
            for row in rows:
                row.batch_permits = self.policy.split_batch_permits(
                    batch, row.target.target, f"g{number}", live
                )
            load = LoadShare(own=1.0, total=float(GATEWAYS), gateways=GATEWAYS)
            max_in_flight = self.policy.split(SLOTS, max_connections, load)
            plan = ServicePlan(
                service=SERVICE,
                rows=rows,
                max_connections=max_connections,
                max_in_flight=max_in_flight,
            )
            permits.set_plans({SERVICE: plan}, Seconds(self.now))
        if self.now < self.scenario.seconds:
            self.schedule(self.now + PLAN_INTERVAL_SECONDS, self._replan)

    def _list_domain(self, domain: int) -> list[SimulatedTarget]:
        return [
            target
            for target in self.targets
            if target.number % DOMAINS == domain
            and not self.scenario.is_out(target.number, self.now)
        ]

    def _build_target(self, target: SimulatedTarget) -> Target:
        return Target(
            target=TargetId(str(target.number)),
            service=SERVICE,
            address=str(target.number),
            domain=DomainId(str(target.number % DOMAINS)),
            rack="r",
            worker=f"w{target.number}",
        )

    def _schedule_arrival(self, load: Load) -> None:
        when = self.now + self.random.expovariate(load.per_second)
        if when < self.scenario.seconds:
            self.schedule(when, self._handle_arrival, load)

    def _handle_arrival(self, load: Load) -> None:
        self._schedule_arrival(load)
        number = self.random.randrange(GATEWAYS)
        permits = self.gateways[number]
        arrived_at, now = self.now, Seconds(self.now)
        permits.record_arrival(SERVICE, now)
        if not permits.admit(SERVICE, load.task_class, load.deadline_seconds, now):
            self._reject(permits, load)
            return
        request = permits.request(SERVICE, load.task_class, set(), now=now)
        if not request.permit.done():
            wait = compute_max_queue_wait(load.deadline_seconds)
            self.schedule(self.now + wait, self._expire, permits, load, request)
        request.permit.add_done_callback(
            lambda permit: self.schedule(
                self.now, self._send, number, load, permit.result(), arrived_at
            )
        )

    def _reject(self, permits: PermitPool, load: Load) -> None:
        permits.record_rejection(SERVICE, load.task_class, Seconds(self.now))
        if load.task_class is CRITICAL and self.now >= WARM_UP_SECONDS:
            self.result.rejected += 1

    def _expire(self, permits: PermitPool, load: Load, request: Any) -> None:
        if not request.permit.done():
            permits.cancel_request(request)
            self._reject(permits, load)

    def _send(
        self, gateway: int, load: Load, row: TargetRow, arrived_at: float
    ) -> None:
        target = self.targets[int(row.target.target)]
        delay = self._get_one_way_delay(gateway, target)
        is_out = self.scenario.is_out
        if is_out(target.number, self.now) and is_out(
            target.number, self.now - PLAN_INTERVAL_SECONDS
        ):
            self.result.sent_to_out_domain += 1
        exchange = (gateway, load, row, arrived_at, self.now)
        self.schedule(self.now + delay, self._receive, target, exchange)

    def _receive(self, target: SimulatedTarget, exchange: Any) -> None:
        target.peak_requests = max(
            target.peak_requests, target.running + len(target.queue) + 1
        )
        if target.number in self.scenario.failing_targets:
            self._respond(target, exchange, failed=True)
        elif target.running < SLOTS:
            self._start_request(target, exchange)
        else:
            target.queue.append(exchange)

    def _start_request(self, target: SimulatedTarget, exchange: Any) -> None:
        target.running += 1
        mean = exchange[1].service_seconds * self.scenario.service_time_factor(
            target.number, self.now
        )
        duration = mean * (0.6 + self.random.expovariate(1.0 / 0.4))
        self.schedule(self.now + duration, self._end_request, target, exchange)

    def _end_request(self, target: SimulatedTarget, exchange: Any) -> None:
        target.running -= 1
        if target.queue:
            self._start_request(target, target.queue.pop(0))
        self._respond(target, exchange, failed=False)

    def _respond(self, target: SimulatedTarget, exchange: Any, *, failed: bool) -> None:
        in_flight = target.running + len(target.queue)
        delay = self._get_one_way_delay(exchange[0], target)
        self.schedule(
            self.now + delay, self._handle_response, exchange, in_flight, failed
        )

    def _handle_response(self, exchange: Any, in_flight: int, failed: bool) -> None:
        number, load, row, arrived_at, sent_at = exchange
        permits, now = self.gateways[number], Seconds(self.now)
        response = TargetResponse(
            status=500 if failed else 200, headers={}, body=b"", in_flight=in_flight
        )
        permits.record_response(row, response, self.now - sent_at, now)
        permits.release(row, load.task_class, now=now, abandoned=False)
        if arrived_at < WARM_UP_SECONDS:
            return
        latency = self.now - arrived_at
        self.result.failed += failed
        self.result.late += latency > load.deadline_seconds
        if not failed and latency <= load.deadline_seconds:
            self.result.done[load.task_class] += 1
        if not failed:
            self.result.latencies[load.task_class].append(latency)

    def _get_one_way_delay(self, gateway: int, target: SimulatedTarget) -> float:
        local = gateway % DOMAINS == target.number % DOMAINS
        return (LOCAL_ROUND_TRIP_SECONDS if local else REMOTE_ROUND_TRIP_SECONDS) / 2


def lookups(per_second: float, service_seconds: float = 0.02) -> Load:
    """Create a load of latency-critical lookups with a deadline of 1 s."""
    return Load(CRITICAL, per_second, service_seconds, 1.0)


def audits(per_second: float) -> Load:
    """Create a load of batch audits with a deadline of 10 s."""
    return Load(BATCH, per_second, 0.2, 10.0)


def slow_some_targets(number: int, now: float) -> float:
    """Return the service time factor: 3 for every fifth target, 1 for the others."""
    return 3.0 if number % 5 == 0 else 1.0


def slow_alternating_targets(number: int, now: float) -> float:
    """Return the factor 3 for a fifth of the targets, a different one every 2 s."""
    return 3.0 if (number + int(now / 2.0)) % 5 == 0 else 1.0


def take_domain_out_and_back(number: int, now: float) -> bool:
    """Return True from 4 s to 8 s for the targets of the first failure domain."""
    return number % DOMAINS == 0 and 4.0 <= now < 8.0


CAPACITY = TARGETS * SLOTS / 0.02
SLOW_CAPACITY = TARGETS * SLOTS / 0.1
DEFAULT_POLICY: dict[str, str] = {}
SCENARIOS: dict[str, tuple[Scenario, dict[str, dict[str, str]]]] = {
    "even": (Scenario((lookups(0.3 * CAPACITY),)), {"policy": DEFAULT_POLICY}),
    "uneven": (
        Scenario((lookups(0.3 * CAPACITY),), service_time_factor=slow_some_targets),
        {
            "policy": DEFAULT_POLICY,
            "two-choices": {"choice": "two-choices"},
            "round-robin": {"choice": "round-robin", "split": "fixed"},
            "random": {"choice": "random", "split": "fixed"},
        },
    ),
    "shifting": (
        Scenario(
            (lookups(0.3 * CAPACITY),), service_time_factor=slow_alternating_targets
        ),
        {
            "policy": DEFAULT_POLICY,
            "two-choices": {"choice": "two-choices"},
            "round-robin": {"choice": "round-robin", "split": "fixed"},
            "random": {"choice": "random", "split": "fixed"},
        },
    ),
    "batch at 2x": (
        Scenario((lookups(0.3 * CAPACITY), audits(2000.0))),
        {
            "policy": DEFAULT_POLICY,
            "half reserved": {"batch_size": "half"},
            "fixed split": {"split": "fixed"},
            "no reserve": {"batch_size": "all", "batch_split": "shared"},
            "random, no reserve": {
                "choice": "random",
                "split": "fixed",
                "admission": "none",
                "batch_size": "all",
                "batch_split": "shared",
            },
        },
    ),
    "batch at night": (
        Scenario((lookups(0.02 * CAPACITY), audits(2000.0))),
        {"policy": DEFAULT_POLICY, "half reserved": {"batch_size": "half"}},
    ),
    "domain out 4-8 s": (
        Scenario((lookups(0.45 * CAPACITY),), is_out=take_domain_out_and_back),
        {
            "policy": DEFAULT_POLICY,
            "round-robin": {"choice": "round-robin", "split": "fixed"},
        },
    ),
    "one target fails": (
        Scenario((lookups(0.3 * CAPACITY),), failing_targets=frozenset({3})),
        {"policy": DEFAULT_POLICY, "no ejection": {"ejection": "none"}},
    ),
    "lookups at 0.9x": (
        Scenario((lookups(0.9 * SLOW_CAPACITY, 0.1),)),
        {
            "policy": DEFAULT_POLICY,
            "no admission": {"admission": "none", "split": "fixed"},
        },
    ),
    "lookups at 2x": (
        Scenario((lookups(2 * SLOW_CAPACITY, 0.1),)),
        {
            "policy": DEFAULT_POLICY,
            "no admission": {"admission": "none", "split": "fixed"},
        },
    ),
    "lookups at 5x": (
        Scenario((lookups(5 * SLOW_CAPACITY, 0.1),)),
        {
            "policy": DEFAULT_POLICY,
            "no admission": {"admission": "none", "split": "fixed"},
        },
    ),
}


def compute_percentile(latencies: list[float], quantile: float) -> float:
    """Return a quantile of latencies, converted from seconds to milliseconds."""
    ranked = sorted(latencies)
    return 1000 * ranked[min(len(ranked) - 1, int(quantile * len(ranked)))]


def format_results(results: list[Result], seconds: float) -> str:
    """Format the medians over several runs as one line."""

    def median(read: Callable[[Result], float]) -> float:
        return statistics.median(read(result) for result in results)

    def percentile(quantile: float) -> float:
        return median(lambda r: compute_percentile(r.latencies[CRITICAL], quantile))

    return (
        f"p50 {percentile(0.5):6.1f}  p99 {percentile(0.99):6.1f}  "
        f"p99.9 {percentile(0.999):6.1f} ms  "
        f"lookups {median(lambda r: r.done[CRITICAL] / seconds):7.0f}/s  "
        f"audits {median(lambda r: r.done[BATCH] / seconds):5.0f}/s  "
        f"refused {median(lambda r: r.rejected / seconds):6.0f}/s  "
        f"failed {median(lambda r: r.failed):4.0f}  "
        f"late {median(lambda r: r.late):5.0f}  "
        f"most at a target {median(lambda r: r.peak_requests_at_target):3.0f}  "
        f"to a domain out {median(lambda r: r.sent_to_out_domain):3.0f}"
    )


def main() -> None:
    """Print one line per scenario and policy."""
    parser = argparse.ArgumentParser(prog="python -m bench.request_policies")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--only", choices=list(SCENARIOS))
    options = parser.parse_args()
    print(f"seed {options.seed}, {options.runs} runs, medians")
    for name, (scenario, policies) in SCENARIOS.items():
        if options.only not in (None, name):
            continue
        for policy, policy_names in policies.items():
            seeds = range(options.seed, options.seed + options.runs)
            results = [Simulation(scenario, policy_names, seed).run() for seed in seeds]
            line = format_results(results, scenario.seconds - WARM_UP_SECONDS)
            print(f"{name:17} {policy:21} {line}", flush=True)


if __name__ == "__main__":
    main()

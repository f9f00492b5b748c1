"""Policies of the request path against their baselines, on a discrete fake.

Nine gateways with the real tables and policies send to 25 targets of 8 slots on
a clock of the fake's own. ``python -m bench.request_policies --seed 1``.
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
SLOTS, CONNECTIONS = 8, 64
LOCAL_SECONDS, FAR_SECONDS = 0.001, 0.003
PLAN_SECONDS = 0.05
WARM_UP = 2.0
CRITICAL, BATCH = TaskClass.LATENCY_CRITICAL, TaskClass.BATCH


@dataclass(frozen=True)
class Load:
    """Requests of one class: how many a second, how long each holds a slot."""

    task_class: TaskClass
    per_second: float
    seconds: float
    deadline: float


@dataclass(frozen=True)
class Scenario:
    """What the site goes through.

    Parameters
    ----------
    speed : callable
        Factor on the service time of a target by its number and the time.
    out : callable
        Whether a target's failure domain is out at a time.
    fails : frozenset of int
        Targets that answer every request at once with an error.
    """

    loads: tuple[Load, ...]
    seconds: float = 12.0
    speed: Callable[[int, float], float] = lambda number, now: 1.0
    out: Callable[[int, float], bool] = lambda number, now: False
    fails: frozenset[int] = frozenset()


@dataclass
class FakeTarget:
    """Eight slots and a queue in front of them."""

    number: int
    running: int = 0
    queue: list[Any] = field(default_factory=list)
    most: int = 0


@dataclass
class Result:
    """What callers saw after the warm-up."""

    latencies: dict[TaskClass, list[float]]
    done: dict[TaskClass, int]
    failed: int = 0
    refused: int = 0
    late: int = 0
    most_at_target: int = 0
    sent_to_out: int = 0


class Fake:
    """One run of a scenario under one policy."""

    def __init__(self, scenario: Scenario, names: dict[str, str], seed: int) -> None:
        self.scenario = scenario
        self.random = random.Random(seed)
        self.now = 0.0
        self.events: list[Any] = []
        self.order = itertools.count()
        self.targets = [FakeTarget(number) for number in range(TARGETS)]
        self.policy = build_policy(**names)
        self.gateways = [self._build_gateway(n, seed) for n in range(GATEWAYS)]
        self.result = Result({CRITICAL: [], BATCH: []}, {CRITICAL: 0, BATCH: 0})
        self.arrivals = [0] * GATEWAYS

    def run(self) -> Result:
        """Return what callers saw."""
        for load in self.scenario.loads:
            self._schedule_arrival(load)
        self.at(0.0, self._replan)
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            if self.now > self.scenario.seconds + 5.0:
                break
            action(*arguments)
        self.result.most_at_target = max(t.most for t in self.targets)
        return self.result

    def at(self, when: float, action: Callable[..., None], *arguments: Any) -> None:
        """Have something happen later."""
        heapq.heappush(self.events, (when, next(self.order), action, arguments))

    def _build_gateway(self, number: int, seed: int) -> PermitPool:
        table = TargetTable(DomainId(str(number % DOMAINS)))
        return PermitPool(table, self.policy, threads=64, seed=seed * 100 + number)

    def _replan(self) -> None:
        live = frozenset(f"g{n}" for n in range(GATEWAYS))
        hard = compute_max_connections(CONNECTIONS, GATEWAYS_MAX)
        for number, permits in enumerate(self.gateways):
            for domain in range(DOMAINS):
                listed = [self._describe(t) for t in self._list_domain(domain)]
                permits.table.replace(
                    SERVICE, DomainId(str(domain)), listed, now=self.now
                )
            rows = list(permits.table.services[SERVICE].targets.values())
            critical_in_flight = (
                permits.get_mean_critical_in_flight(SERVICE) * GATEWAYS / TARGETS
            )
            batch = self.policy.size_batch(SLOTS, critical_in_flight)
            for row in rows:
                row.batch_permits = self.policy.split_batch(
                    batch, row.target.target, f"g{number}", live
                )
            load = LoadShare(own=1.0, total=float(GATEWAYS), gateways=GATEWAYS)
            soft = self.policy.split(SLOTS, hard, load)
            plan = ServicePlan(
                service=SERVICE, rows=rows, max_connections=hard, max_in_flight=soft
            )
            permits.set_plans({SERVICE: plan}, Seconds(self.now))
        if self.now < self.scenario.seconds:
            self.at(self.now + PLAN_SECONDS, self._replan)

    def _list_domain(self, domain: int) -> list[FakeTarget]:
        return [
            target
            for target in self.targets
            if target.number % DOMAINS == domain
            and not self.scenario.out(target.number, self.now)
        ]

    def _describe(self, target: FakeTarget) -> Target:
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
            self.at(when, self._arrive, load)

    def _arrive(self, load: Load) -> None:
        self._schedule_arrival(load)
        number = self.random.randrange(GATEWAYS)
        permits = self.gateways[number]
        began, now = self.now, Seconds(self.now)
        permits.record_arrival(SERVICE, now)
        if not permits.admit(SERVICE, load.task_class, load.deadline, now):
            self._refuse(permits, load)
            return
        request = permits.request(SERVICE, load.task_class, set(), now=now)
        if not request.permit.done():
            wait = compute_max_queue_wait(load.deadline)
            self.at(self.now + wait, self._expire, permits, load, request)
        request.permit.add_done_callback(
            lambda permit: self.at(
                self.now, self._send, number, load, permit.result(), began
            )
        )

    def _refuse(self, permits: PermitPool, load: Load) -> None:
        permits.record_rejection(SERVICE, load.task_class, Seconds(self.now))
        if load.task_class is CRITICAL and self.now >= WARM_UP:
            self.result.refused += 1

    def _expire(self, permits: PermitPool, load: Load, request: Any) -> None:
        if not request.permit.done():
            permits.cancel_request(request)
            self._refuse(permits, load)

    def _send(self, gateway: int, load: Load, row: TargetRow, began: float) -> None:
        target = self.targets[int(row.target.target)]
        way = self._measure_way(gateway, target)
        out = self.scenario.out
        if out(target.number, self.now) and out(target.number, self.now - PLAN_SECONDS):
            self.result.sent_to_out += 1
        job = (gateway, load, row, began, self.now)
        self.at(self.now + way, self._enter, target, job)

    def _enter(self, target: FakeTarget, job: Any) -> None:
        target.most = max(target.most, target.running + len(target.queue) + 1)
        if target.number in self.scenario.fails:
            self._leave(target, job, failed=True)
        elif target.running < SLOTS:
            self._start(target, job)
        else:
            target.queue.append(job)

    def _start(self, target: FakeTarget, job: Any) -> None:
        target.running += 1
        mean = job[1].seconds * self.scenario.speed(target.number, self.now)
        hold = mean * (0.6 + self.random.expovariate(1.0 / 0.4))
        self.at(self.now + hold, self._end, target, job)

    def _end(self, target: FakeTarget, job: Any) -> None:
        target.running -= 1
        if target.queue:
            self._start(target, target.queue.pop(0))
        self._leave(target, job, failed=False)

    def _leave(self, target: FakeTarget, job: Any, *, failed: bool) -> None:
        in_flight = target.running + len(target.queue)
        way = self._measure_way(job[0], target)
        self.at(self.now + way, self._take_answer, job, in_flight, failed)

    def _take_answer(self, job: Any, in_flight: int, failed: bool) -> None:
        number, load, row, began, sent = job
        permits, now = self.gateways[number], Seconds(self.now)
        answer = TargetResponse(
            status=500 if failed else 200, headers={}, body=b"", in_flight=in_flight
        )
        permits.record_response(row, answer, self.now - sent, now)
        permits.release(row, load.task_class, now=now, abandoned=False)
        if began < WARM_UP:
            return
        took = self.now - began
        self.result.failed += failed
        self.result.late += took > load.deadline
        if not failed and took <= load.deadline:
            self.result.done[load.task_class] += 1
        if not failed:
            self.result.latencies[load.task_class].append(took)

    def _measure_way(self, gateway: int, target: FakeTarget) -> float:
        local = gateway % DOMAINS == target.number % DOMAINS
        return (LOCAL_SECONDS if local else FAR_SECONDS) / 2


def lookups(per_second: float, seconds: float = 0.02) -> Load:
    """Return a load of lookups."""
    return Load(CRITICAL, per_second, seconds, 1.0)


def audits(per_second: float) -> Load:
    """Return a load of audits."""
    return Load(BATCH, per_second, 0.2, 10.0)


def speed_unevenly(number: int, now: float) -> float:
    """Return 1 for most targets, 3 for each fifth."""
    return 3.0 if number % 5 == 0 else 1.0


def speed_shifting(number: int, now: float) -> float:
    """Return 3 for a fifth of the targets, another fifth each 2 s."""
    return 3.0 if (number + int(now / 2.0)) % 5 == 0 else 1.0


def leave_and_return(number: int, now: float) -> bool:
    """Return whether the first failure domain is out, from 4 s to 8 s."""
    return number % DOMAINS == 0 and 4.0 <= now < 8.0


CAPACITY = TARGETS * SLOTS / 0.02
SLOW_CAPACITY = TARGETS * SLOTS / 0.1
CURRENT: dict[str, str] = {}
SCENARIOS: dict[str, tuple[Scenario, dict[str, dict[str, str]]]] = {
    "even": (Scenario((lookups(0.3 * CAPACITY),)), {"policy": CURRENT}),
    "uneven": (
        Scenario((lookups(0.3 * CAPACITY),), speed=speed_unevenly),
        {
            "policy": CURRENT,
            "two-choices": {"choice": "two-choices"},
            "round-robin": {"choice": "round-robin", "split": "fixed"},
            "random": {"choice": "random", "split": "fixed"},
        },
    ),
    "shifting": (
        Scenario((lookups(0.3 * CAPACITY),), speed=speed_shifting),
        {
            "policy": CURRENT,
            "two-choices": {"choice": "two-choices"},
            "round-robin": {"choice": "round-robin", "split": "fixed"},
            "random": {"choice": "random", "split": "fixed"},
        },
    ),
    "batch at 2x": (
        Scenario((lookups(0.3 * CAPACITY), audits(2000.0))),
        {
            "policy": CURRENT,
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
        {"policy": CURRENT, "half reserved": {"batch_size": "half"}},
    ),
    "domain out 4-8 s": (
        Scenario((lookups(0.45 * CAPACITY),), out=leave_and_return),
        {
            "policy": CURRENT,
            "round-robin": {"choice": "round-robin", "split": "fixed"},
        },
    ),
    "one target fails": (
        Scenario((lookups(0.3 * CAPACITY),), fails=frozenset({3})),
        {"policy": CURRENT, "no ejection": {"ejection": "none"}},
    ),
    "lookups at 0.9x": (
        Scenario((lookups(0.9 * SLOW_CAPACITY, 0.1),)),
        {"policy": CURRENT, "no admission": {"admission": "none", "split": "fixed"}},
    ),
    "lookups at 2x": (
        Scenario((lookups(2 * SLOW_CAPACITY, 0.1),)),
        {"policy": CURRENT, "no admission": {"admission": "none", "split": "fixed"}},
    ),
    "lookups at 5x": (
        Scenario((lookups(5 * SLOW_CAPACITY, 0.1),)),
        {"policy": CURRENT, "no admission": {"admission": "none", "split": "fixed"}},
    ),
}


def pick(latencies: list[float], share: float) -> float:
    """Return a percentile in milliseconds."""
    ranked = sorted(latencies)
    return 1000 * ranked[min(len(ranked) - 1, int(share * len(ranked)))]


def describe(results: list[Result], seconds: float) -> str:
    """Return the medians over several runs as one line."""

    def median(read: Callable[[Result], float]) -> float:
        return statistics.median(read(result) for result in results)

    def percentile(share: float) -> float:
        return median(lambda r: pick(r.latencies[CRITICAL], share))

    return (
        f"p50 {percentile(0.5):6.1f}  p99 {percentile(0.99):6.1f}  "
        f"p99.9 {percentile(0.999):6.1f} ms  "
        f"lookups {median(lambda r: r.done[CRITICAL] / seconds):7.0f}/s  "
        f"audits {median(lambda r: r.done[BATCH] / seconds):5.0f}/s  "
        f"refused {median(lambda r: r.refused / seconds):6.0f}/s  "
        f"failed {median(lambda r: r.failed):4.0f}  "
        f"late {median(lambda r: r.late):5.0f}  "
        f"most at a target {median(lambda r: r.most_at_target):3.0f}  "
        f"to a domain out {median(lambda r: r.sent_to_out):3.0f}"
    )


def main() -> None:
    """Print one line for each scenario and policy."""
    parser = argparse.ArgumentParser(prog="python -m bench.request_policies")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--only", choices=list(SCENARIOS))
    options = parser.parse_args()
    print(f"seed {options.seed}, {options.runs} runs, medians")
    for name, (scenario, policies) in SCENARIOS.items():
        if options.only not in (None, name):
            continue
        for policy, names in policies.items():
            seeds = range(options.seed, options.seed + options.runs)
            results = [Fake(scenario, names, seed).run() for seed in seeds]
            line = describe(results, scenario.seconds - WARM_UP)
            print(f"{name:17} {policy:21} {line}", flush=True)


if __name__ == "__main__":
    main()

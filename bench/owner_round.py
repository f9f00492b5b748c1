"""Cost of the owner's rounds of decisions, by the number of workers and waiting tasks.

A drawn cell runs through the code of ``dispatch`` that an owner runs: reports arrive,
rounds of decisions are made and starts are confirmed, with no network between.

    python -m bench.owner_round [--workers 24,176,600,1600] [--waiting 0,100,1000]

It prints the mean time of a round in milliseconds, and what one report costs.
"""

import argparse
import random
import time
from dataclasses import dataclass, field

from plantainhinge.core.ids import (
    DomainId,
    Epoch,
    JobId,
    QueueName,
    Seconds,
    ServiceId,
    WorkerId,
)
from plantainhinge.core.resources import Resources
from plantainhinge.dispatch.cell import Cell
from plantainhinge.dispatch.leases import LeaseTerms
from plantainhinge.dispatch.model import HandoverMark, Worker
from plantainhinge.dispatch.orders import Start
from plantainhinge.fleet.model import (
    OrderOutcome,
    OrderResponse,
    RunningAttempt,
    WorkerEntry,
    WorkerReport,
)
from plantainhinge.jobs.model import JobRecord, JobSpec, QueuePolicy, Step

SERVICE = ServiceId("archive")
TERMS = LeaseTerms(length=Seconds(6.0), length_max=Seconds(10.0))
CORES = 64
SERVING_IMAGES = 10
BEST_EFFORT_IMAGES = 18
# share of all processors that serving tasks request
SERVING_SHARE = 0.9
REPORTS_PER_SECOND_MAX = 2000
ROUNDS_PER_SECOND = 200
WARM_UP_ROUNDS = 200


@dataclass
class DrawnCell:
    """A cell whose workers serve, with best-effort tasks that run or wait."""

    workers: int
    waiting: int
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    now: float = 100.0

    def __post_init__(self) -> None:
        self.cell = Cell(Epoch(1), TERMS, 0.0)
        entries = [self._draw_worker(index) for index in range(self.workers)]
        self.cell.update_workers(entries, now=self.now)
        for worker in self.cell.workers.values():
            worker.handover = HandoverMark.OPEN
        self.cell.guarded_services = frozenset({SERVICE})
        self._report_all()
        self._submit_serving()
        self._run_rounds(WARM_UP_ROUNDS)
        self._submit_best_effort()

    def measure(self, rounds: int) -> tuple[float, float]:
        """Return the mean seconds of a round, and of a report."""
        round_seconds = report_seconds = 0.0
        reports = 0
        per_round = max(1, REPORTS_PER_SECOND_MAX // ROUNDS_PER_SECOND)
        workers = list(self.cell.workers.values())
        for _ in range(rounds):
            self.now += 1 / ROUNDS_PER_SECOND
            for worker in self.rng.sample(workers, min(per_round, len(workers))):
                report = self._build_report(worker)
                started = time.perf_counter()
                self.cell.handle_report(worker, report, sent=self.now, now=self.now)
                report_seconds += time.perf_counter() - started
                reports += 1
            started = time.perf_counter()
            self._decide()
            round_seconds += time.perf_counter() - started
        return round_seconds / rounds, report_seconds / reports

    def _draw_worker(self, index: int) -> WorkerEntry:
        return WorkerEntry(
            worker=WorkerId(f"w{index}"),
            incarnation=1,
            service=SERVICE,
            address=f"w{index}:1",
            domain=DomainId("abc"[index % 3]),
            capacity=Resources(CORES * 1000, 256_000),
            labels=("a", f"r1-{index // 8}"),
        )

    def _submit_serving(self) -> None:
        cores = int(self.workers * CORES * SERVING_SHARE)
        while cores > 0:
            count, size = self.rng.randint(4, 20), self.rng.randint(8, 16)
            step = Step(
                count=count,
                request=Resources(size * 1000, 1000),
                estimate=1.0,
                long_running=True,
                image=f"s{self.rng.randrange(SERVING_IMAGES)}",
                target_seconds=0.02,
            )
            self._submit(f"serving-{cores}", step)
            cores -= count * size

    def _submit_best_effort(self) -> None:
        # what is beyond the idle processors waits
        left = self.waiting + 4 * self.workers if self.waiting else 0
        while left > 0:
            step = Step(
                count=20,
                request=Resources(7000, 1000),
                estimate=1e6,
                best_effort=True,
                checkpoints=True,
                image=f"b{self.rng.randrange(BEST_EFFORT_IMAGES)}",
            )
            self._submit(f"batch-{left}", step, priority=2)
            left -= 20
        self._run_rounds(WARM_UP_ROUNDS)

    def _submit(self, job: str, step: Step, *, priority: int = 0) -> None:
        policy = QueuePolicy(
            queue=QueueName("q"),
            service=SERVICE,
            priority=priority,
            attempts=3,
            slack_factor=2.0,
            target_latency=1.0,
        )
        record = JobRecord(
            job=JobId(job),
            policy=policy,
            spec=JobSpec(payload="work", steps=(step,)),
            accepted_at=self.now,
        )
        self.cell.open_job(record, None, wall=Seconds(self.now), inherited=False)

    def _run_rounds(self, rounds: int) -> None:
        for index in range(rounds):
            self.now += 1 / ROUNDS_PER_SECOND
            if index % 20 == 0:
                self._report_all()
            self._decide()

    def _report_all(self) -> None:
        for worker in self.cell.workers.values():
            report = self._build_report(worker)
            self.cell.handle_report(worker, report, sent=self.now, now=self.now)

    def _build_report(self, worker: Worker) -> WorkerReport:
        running = tuple(
            RunningAttempt(key, number, "", 50, self._draw_gauge(attempt))
            for (key, number), attempt in worker.attempts.items()
        )
        return WorkerReport(
            clock=Seconds(self.now), incarnation=1, running=running, ended=()
        )

    def _draw_gauge(self, attempt: object) -> float:
        spec = attempt.task.step.spec  # type: ignore[attr-defined]
        if spec.target_seconds:
            return spec.target_seconds * self.rng.uniform(0.5, 0.8)
        return spec.request.millicores / 1000

    def _decide(self) -> None:
        self.cell.decide(now=self.now, wall=Seconds(self.now))
        accepted = OrderResponse(outcome=OrderOutcome.ACCEPTED)
        for command in self.cell.take_commands():
            if isinstance(command, Start):
                self.cell.handle_start_answer(command.attempt, accepted, now=self.now)


def main() -> None:
    """Measure and print one line for each size."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--workers", default="24,176,600,1600")
    parser.add_argument("--waiting", default="0,100,1000")
    parser.add_argument("--rounds", type=int, default=200)
    options = parser.parse_args()
    print("workers waiting  placed  round ms  report ms")
    for workers in map(int, options.workers.split(",")):
        for waiting in map(int, options.waiting.split(",")):
            drawn = DrawnCell(workers, waiting)
            round_seconds, report_seconds = drawn.measure(options.rounds)
            still = sum(len(step.waiting) for step in drawn.cell.list_waiting_steps())
            print(
                f"{workers:7} {still:7} {waiting:7} {round_seconds * 1000:9.3f}"
                f" {report_seconds * 1000:10.3f}"
            )


if __name__ == "__main__":
    main()

"""Measures the cost of ledgers, cells and takeovers, and the latency of urgent work.

The real schedulers run against the fakes of the tests, on simulated time. Processor
time counts only the schedulers' ticks. Nothing is random.
"""

import argparse
import time
import tracemalloc

from plantainhinge.adapters.peers_grpc import CLAIM
from plantainhinge.core.ids import DomainId, Epoch, Offset, Seconds
from plantainhinge.core.messages import ClaimRequest
from plantainhinge.core.records import (
    AttemptClosed,
    AttemptPlaced,
    ClosureAcknowledged,
    OwnershipClaimed,
    WorkerJoined,
)
from plantainhinge.core.resources import Resources
from plantainhinge.core.states import AttemptOutcome, TaskClass
from plantainhinge.ledgers.cell import CellState
from tests.harness import WALL_OFFSET, run_site

LARGE = Resources(10**9, 10**9, 0)
SMALL = Resources(1000, 1024, 0)
SCALES = (1, 4, 16)
BASE_TASKS = 300
BASE_WORKERS = 35
US_PER_SECOND = 1e6
IDLE_SECONDS = 20.0
LONG_RUN_SECONDS = 1e6
STREAMS = ("ledger.0", "cell.d1", "cell.d2")


def measure_replay() -> None:
    """Print the replay time of one cell's records, and memory per task and worker."""
    for scale in SCALES:
        tasks, workers = BASE_TASKS * scale, BASE_WORKERS * scale
        tracemalloc.start()
        state = CellState(DomainId("d"))
        apply(state, OwnershipClaimed(Epoch(1), "p", ""))
        before = tracemalloc.get_traced_memory()[0]
        for n in range(workers):
            apply(state, WorkerJoined(f"w{n}", "127.0.0.1:8000", "rack", LARGE))
        joined = tracemalloc.get_traced_memory()[0]
        for n in range(tasks):
            apply(state, make_placement(f"job-{n:012}", n % workers))
        placed = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        replay = measure_record_replay(state, workers)
        print(
            f"cell {scale}x: {tasks} tasks, {workers} workers:"
            f" {replay:.2f} us a record replayed,"
            f" {(placed - joined) / tasks:.0f} B a task,"
            f" {(joined - before) / workers:.0f} B a worker"
        )


def apply(state: CellState, record: object) -> None:
    """Apply a record; raise AssertionError if the state rejects it."""
    rejection = state.apply(record, epoch=Epoch(1), offset=Offset(0), now=Seconds(0.0))
    assert rejection is None, rejection


def make_placement(task: str, worker: int) -> AttemptPlaced:
    """Create the record that places a batch task on the worker with that number."""
    return AttemptPlaced(
        task, 1, f"w{worker}", "audit", TaskClass.BATCH, SMALL, 0, "", "", 60.0
    )


def measure_record_replay(state: CellState, workers: int) -> float:
    """Return the microseconds per record of replaying 1000 complete attempts."""
    records: list[object] = []
    for n in range(1000):
        task = f"more-{n}"
        records.append(make_placement(task, n % workers))
        records.append(AttemptClosed(task, 1, AttemptOutcome.FINISHED, "60", 0))
        records.append(ClosureAcknowledged(task, 1, 0, Epoch(1), n))
    started_at = time.perf_counter()
    for record in records:
        apply(state, record)
    return (time.perf_counter() - started_at) / len(records) * US_PER_SECOND


class TickTimer:
    """Adds up the processor time of the ticks of all schedulers of a site."""

    def __init__(self, site) -> None:
        self.cpu_seconds = 0.0
        self.ticks = 0
        for process in site.processes.values():
            self._wrap(process.scheduler)

    def _wrap(self, scheduler) -> None:
        tick = scheduler.tick

        def timed_tick(events, now) -> None:
            started_at = time.process_time()
            tick(events, now)
            self.cpu_seconds += time.process_time() - started_at
            self.ticks += 1

        scheduler.tick = timed_tick


def start_long_jobs(site, tasks: int) -> None:
    """Submit jobs that outlast the benchmark, and wait until all of them run."""
    for n in range(tasks):
        site.submit(f"job-{n:012}", run_seconds=LONG_RUN_SECONDS)
    site.await_state(lambda: len(site.starts) >= tasks, 300.0)
    site.advance(IDLE_SECONDS)


def measure_idle_ticks() -> None:
    """Print the cost of a scheduler while tasks run and nothing changes."""
    for scale in SCALES:
        workers = BASE_WORKERS * scale // 2
        with run_site(workers_per_domain=workers) as site:
            start_long_jobs(site, workers * 4)
            timer = TickTimer(site)
            size = count_log_bytes(site)
            site.advance(IDLE_SECONDS)
            idle_bytes_per_second = (count_log_bytes(site) - size) / IDLE_SECONDS
            print(
                f"quiet {scale}x: {workers * 4} tasks on {workers * 2} workers:"
                f" {timer.cpu_seconds / timer.ticks * US_PER_SECOND:.0f} us a tick,"
                f" {timer.cpu_seconds / IDLE_SECONDS * 1000:.2f} ms a second in all"
                f" processes, {idle_bytes_per_second:.0f} B/s on the log"
            )


def count_log_bytes(site) -> int:
    """Return the size of the streams of the ledger and the cells."""
    streams = site.log.inner._streams
    names = [name for name in streams if name in STREAMS]
    return sum(len(entry) for name in names for entry in streams[name].entries)


def measure_starts(jobs: int = 1000) -> None:
    """Print the log bytes and processor time of a job from submission to end."""
    with run_site(workers_per_domain=100, tick_seconds=0.05) as site:
        size = count_log_bytes(site)
        site.advance(IDLE_SECONDS)
        idle_bytes_per_second = (count_log_bytes(site) - size) / IDLE_SECONDS
        timer = TickTimer(site)
        size, started_at = count_log_bytes(site), site.now
        for n in range(jobs):
            site.submit(f"job-{n:012}", run_seconds=2.0)
            if n % 10 == 9:
                site.advance(0.1)
        site.await_state(lambda: len(site.ends) >= jobs)
        site.advance(10.0)
        seconds = site.now - started_at
        added = count_log_bytes(site) - size - idle_bytes_per_second * seconds
        print(
            f"starts: {jobs} jobs in {seconds:.1f} s: {added / jobs:.0f} B a job on"
            f" the log, {timer.cpu_seconds / jobs * US_PER_SECOND:.0f} us a job of the"
            f" schedulers' processor time, quiet ticks included"
        )


def measure_takeover(attempts: int = 1000) -> None:
    """Print how long a new owner takes to adopt all open attempts of a cell."""
    with run_site(workers_per_domain=attempts // 2, domains={"d1": "in"}) as site:
        start_long_jobs(site, attempts)
        old = site.find_owner("cell.d1")
        site.kill(old.name)
        killed_at = site.now
        site.await_state(lambda: site.find_owner("cell.d1") is not None)
        acquired_at = site.now
        timer = TickTimer(site)
        cell = site.find_owner("cell.d1").scheduler.cells["d1"]
        site.await_state(lambda: len(cell.workers.reports) >= attempts)
        print(
            f"takeover: {attempts} attempts on {attempts // 2} workers: owned"
            f" {acquired_at - killed_at:.2f} s after the kill, all adopted"
            f" {site.now - acquired_at:.2f} s later (ticks of {site.tick_seconds} s),"
            f" {timer.cpu_seconds * 1000:.0f} ms of processor time,"
            f" {len(site.starts) - attempts} started again"
        )


def measure_urgent(rate: int = 110, seconds: int = 10) -> None:
    """Print the time from submission to start of urgent jobs at a steady rate."""
    domains = {f"d{n}": "in" for n in range(1, 5)}
    options = {"workers_per_domain": 75, "domains": domains, "tick_seconds": 0.05}
    with run_site(jobs_urgent=True, **options) as site:
        site.advance(IDLE_SECONDS)
        submitted: dict[str, float] = {}
        for n in range(rate * seconds):
            task = f"job-{n:012}"
            submitted[task] = site.now
            site.submit(task, run_seconds=1.0)
            if n % 11 == 10:
                site.advance(11 / rate)
        site.await_state(lambda: len(site.starts) >= rate * seconds)
        waits = sorted(
            start[1] - submitted[ref[0]] for ref, start in site.starts.items()
        )
        print(
            f"urgent: {len(waits)} starts at {rate}/s, each call takes one tick of"
            f" {site.tick_seconds} s: p50 {waits[len(waits) // 2]:.2f} s,"
            f" p99 {waits[int(len(waits) * 0.99)]:.2f} s, worst {waits[-1]:.2f} s"
        )


def measure_claims(rate: int = 300, seconds: int = 5) -> None:
    """Print the latency of claims and the appends per second that they cause."""
    with run_site(tick_seconds=0.05) as site:
        site.advance(IDLE_SECONDS)
        entries = site.log.inner._streams["ledger.0"].entries
        before, pending, waits = len(entries), [], []
        for n in range(rate * seconds):
            message = ClaimRequest(
                key=f"key-{n}",
                request=f"request-{n}",
                team="t",
                gateway="g",
                key_at=WALL_OFFSET + site.now,
            )
            pending.append((site.now, site.ask(CLAIM, message)))
            if n % 15 == 14:
                site.advance(15 / rate)
                pending = collect_granted(pending, waits, site.now)
        while pending:
            site.advance(site.tick_seconds)
            pending = collect_granted(pending, waits, site.now)
        waits.sort()
        print(
            f"claims: {len(waits)} granted at {rate}/s:"
            f" p50 {waits[len(waits) // 2]:.2f} s,"
            f" p99 {waits[int(len(waits) * 0.99)]:.2f} s,"
            f" {(len(entries) - before) / seconds:.1f} appends a second"
        )


def collect_granted(pending: list, waits: list, now: float) -> list:
    """Add the latencies of the answered claims; return the unanswered ones."""
    unanswered = []
    for sent_at, response in pending:
        if not response.done():
            unanswered.append((sent_at, response))
            continue
        assert response.result().granted
        waits.append(now - sent_at)
    return unanswered


BENCHMARKS = {
    "replay": measure_replay,
    "quiet": measure_idle_ticks,
    "starts": measure_starts,
    "takeover": measure_takeover,
    "urgent": measure_urgent,
    "claims": measure_claims,
}


def main() -> None:
    """Run the named benchmarks, or all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", choices=[[], *BENCHMARKS], default=[])
    for name in parser.parse_args().parts or BENCHMARKS:
        BENCHMARKS[name]()


if __name__ == "__main__":
    main()

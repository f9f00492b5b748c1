"""Serving tasks move together to free processors for waiting best-effort work."""

import msgspec

from plantainhinge.core.ids import JobId, KindId, Seconds
from plantainhinge.core.resources import Resources
from plantainhinge.dispatch.consolidation import REST_SECONDS
from plantainhinge.fleet.model import WorkerState
from plantainhinge.jobs.model import Step

from .simulated_cell import (
    SimulatedCell,
    make_entry,
    make_job,
    measure_late_share,
)
from .simulated_interference import CORES, TARGET, make_tail_latency

HEAVY_WEIGHT = 4.0
LEARNED_SECONDS = REST_SECONDS + 1.0


def make_serving(count, *, millicores=4000, **changes):
    return Step(
        count=count,
        request=Resources(millicores, 100),
        estimate=1.0,
        long_running=True,
        image="front",
        target_seconds=TARGET,
        **changes,
    )


def make_heavy(count, *, estimate=1.0):
    return Step(
        count=count,
        request=Resources(2000, 100),
        estimate=estimate,
        image="heavy",
        best_effort=True,
    )


simulate_tail_latency = make_tail_latency({"heavy": HEAVY_WEIGHT})


def spread_serving(workers=4, **changes):
    """Return a site with one serving task left on each worker, as jobs end.

    Each worker was full of serving tasks; all but one of each have left.
    """
    site = SimulatedCell(
        *(make_entry(f"w{number}", cores=CORES) for number in range(workers))
    )
    for worker in site.workers.values():
        worker.tail_latency = simulate_tail_latency
    jobs = []
    for number in range(workers):
        kept, left = f"kept{number}", f"left{number}"
        jobs.append(make_job(kept, make_serving(1, **changes)))
        site.submit(jobs[-1])
        site.submit(make_job(left, make_serving(1, millicores=10_000)))
        site.run(1.5)
    for number in range(workers):
        site.cell.cancel_job(JobId(f"left{number}"), now=site.now)
    site.cell.weights.restore(
        KindId("front"), KindId("heavy"), HEAVY_WEIGHT, Seconds(site.now)
    )
    site.run(LEARNED_SECONDS)
    assert [count_serving(worker) for worker in site.workers.values()] == [1] * workers
    return site, jobs


def count_serving(worker):
    return sum(attempt.serving for attempt in worker.attempts.values())


def submit_heavy(site, jobs=12):
    records = [make_job(f"h{number}", make_heavy(4)) for number in range(jobs)]
    for record in records:
        site.submit(record)
    return records


def count_free(site):
    """Return how many workers run no serving task."""
    return sum(count_serving(worker) == 0 for worker in site.workers.values())


def run_checked(site, seconds):
    """Run a site and check that no task ever runs twice."""
    for _ in range(round(seconds / 0.1)):
        site.run(0.1)
        tasks = [task for _, task, _ in site.list_running()]
        assert len(tasks) == len(set(tasks))


def count_completed(site, jobs):
    return sum(site.state_of(job.job) == "completed" for job in jobs)


def test_scattered_serving_tasks_free_processors_for_work_that_waits():
    site, _ = spread_serving()
    jobs = submit_heavy(site)
    run_checked(site, 8)
    assert count_free(site) >= 2
    assert sum(count_serving(worker) for worker in site.workers.values()) == 4
    assert count_completed(site, jobs) == len(jobs)


def test_callers_get_their_answers_sooner_than_without_moves(monkeypatch):
    completed = {}
    for moves in (True, False):
        site, _ = spread_serving()
        if not moves:
            monkeypatch.setattr(site.cell, "consolidated_at", float("inf"))
        jobs = submit_heavy(site, jobs=24)
        late = measure_late_share(site, 8, target=TARGET)
        completed[moves] = count_completed(site, jobs)
        assert late < 0.1
    assert completed[True] >= completed[False] + 8


def test_nothing_moves_while_nothing_waits():
    site, _ = spread_serving()
    starts = site.count_starts()
    run_checked(site, 6)
    assert site.count_starts() == starts


def test_tasks_whose_unavailability_is_limited_stay():
    site, _ = spread_serving(unavailable_max=1)
    submit_heavy(site, jobs=30)
    run_checked(site, 6)
    assert count_free(site) == 0


def test_a_limit_per_worker_holds_during_moves():
    site = SimulatedCell(*(make_entry(f"w{n}", cores=CORES) for n in range(4)))
    for worker in site.workers.values():
        worker.tail_latency = simulate_tail_latency
    site.submit(make_job("s", make_serving(4, per_worker_max=1)))
    site.run(LEARNED_SECONDS)
    submit_heavy(site, jobs=30)
    run_checked(site, 6)
    assert [count_serving(worker) for worker in site.workers.values()] == [1] * 4


def test_a_domain_that_leaves_and_returns_during_moves_costs_no_task_twice():
    site, _ = spread_serving()
    submit_heavy(site, jobs=30)
    site.run_until(lambda: site.cell.moving, limit=5)
    for name in ("w0", "w1"):
        site.workers[name].unreachable = True
    run_checked(site, 3)
    for name in ("w0", "w1"):
        site.workers[name].unreachable = False
    run_checked(site, 15)
    assert sum(count_serving(worker) for worker in site.workers.values()) == 4


def test_an_owner_that_changes_during_moves_costs_no_task_twice():
    site, jobs = spread_serving()
    heavy = submit_heavy(site, jobs=30)
    site.run_until(lambda: site.cell.moving, limit=5)
    site.take_over([*jobs, *heavy])
    run_checked(site, 15)
    assert sum(count_serving(worker) for worker in site.workers.values()) == 4


def test_a_destination_that_drains_meanwhile_is_replaced():
    site, _ = spread_serving()
    submit_heavy(site, jobs=30)
    site.run_until(lambda: site.cell.moving, limit=5)
    (task,) = site.cell.moving
    worker = site.workers[task.destination]
    worker.entry = msgspec.structs.replace(worker.entry, state=WorkerState.DRAINING)
    site.update_workers()
    run_checked(site, 10)
    assert sum(count_serving(each) for each in site.workers.values()) == 4

"""Best-effort work beside serving tasks: learned weights, throttling and moves."""

import msgspec
import pytest

from plantainhinge.core.ids import JobId, KindId, Seconds
from plantainhinge.core.resources import Resources
from plantainhinge.fleet.model import WorkerState
from plantainhinge.jobs.model import Step

from .simulated_cell import SimulatedCell, make_entry, make_job, measure_late_share
from .simulated_interference import (
    IDLE_TAIL_LATENCY,
    TARGET,
    make_tail_latency,
)


def make_serving(count=1):
    return Step(
        count=count,
        request=Resources(4000, 100),
        estimate=1.0,
        long_running=True,
        image="front",
        target_seconds=TARGET,
    )


def make_best_effort(image, count, estimate=2.0):
    return Step(
        count=count,
        request=Resources(2000, 100),
        estimate=estimate,
        image=image,
        best_effort=True,
    )


simulate_tail_latency = make_tail_latency({"heavy": 3.0, "light": 0.2})


def make_site(workers=3):
    site = SimulatedCell(
        *[make_entry(f"w{index}", cores=16) for index in range(workers)]
    )
    for worker in site.workers.values():
        worker.tail_latency = simulate_tail_latency
    return site


def test_heavy_images_get_larger_weights_than_light_ones():
    site = make_site()
    site.submit(make_job("s", make_serving(6)))
    for index in range(30):
        site.submit(make_job(f"h{index}", make_best_effort("heavy", 2)))
        site.submit(make_job(f"l{index}", make_best_effort("light", 2)))
        site.run(1)
    weights = {
        image: site.cell.weights.find(KindId("front"), KindId(image))
        for image in ("heavy", "light")
    }
    assert weights["heavy"] > 2 * weights["light"]


def test_serving_tasks_meet_their_target_latency_beside_heavy_work():
    site = make_site(workers=1)
    site.submit(make_job("s", make_serving(2)))
    site.run(1)
    for index in range(10):
        site.submit(make_job(f"h{index}", make_best_effort("heavy", 3)))
    site.run(5)
    assert measure_late_share(site, 20, target=TARGET) < 0.05


def test_light_work_uses_the_idle_processors_beside_serving_tasks():
    site = make_site(workers=1)
    site.submit(make_job("s", make_serving(2)))
    site.run(1)
    site.submit(make_job("l", make_best_effort("light", 8)))
    site.run_until(lambda: site.state_of("l") == "completed", limit=8)


@pytest.mark.parametrize("pressed", [True, False])
def test_throttled_work_speeds_up_once_pressure_allows(pressed):
    site = make_site(workers=1)
    site.submit(make_job("s", make_serving(1)))
    site.run(0.5)
    site.submit(make_job("h", make_best_effort("heavy", 1, estimate=30.0)))
    site.run(1)
    if pressed:
        worker = site.workers["w0"]
        worker.tail_latency = lambda worker, attempt: 0.2 if attempt.serving else 1.0
        site.run(1)
        assert min(attempt.speed_percent for attempt in worker.attempts.values()) == 0
        worker.tail_latency = simulate_tail_latency
    site.run(3)
    speeds = [attempt.speed_percent for attempt in site.workers["w0"].attempts.values()]
    assert min(speeds) >= 50


def start_paused_work(site):
    """Start best-effort work that is paused soon; return its worker."""
    site.submit(make_job("s", make_serving(1)))
    site.run(0.5)
    site.submit(make_job("h", make_best_effort("heavy", 1, estimate=5.0)))
    site.run(1)
    worker = site.workers["w0"]
    worker.tail_latency = lambda worker, attempt: (
        0.2 if attempt.serving else 2.0 * attempt.speed_percent / 100
    )
    site.run(2)
    assert min(attempt.speed_percent for attempt in worker.attempts.values()) == 0
    return worker


@pytest.mark.parametrize("serving_stays", [True, False])
def test_paused_work_goes_on_under_a_new_owner(serving_stays):
    site = make_site(workers=1)
    worker = start_paused_work(site)
    jobs = [job.record for job in site.cell.jobs.values()]
    worker.tail_latency = simulate_tail_latency
    if not serving_stays:
        site.cell.cancel_job(jobs[0].job, now=site.now)
        site.run(0.1)
    site.take_over(jobs[0 if serving_stays else 1 :])
    site.run_until(lambda: site.state_of("h") == "completed", limit=15)


def test_paused_work_goes_on_once_the_serving_tasks_have_left():
    site = make_site(workers=1)
    start_paused_work(site)
    site.cell.cancel_job(JobId("s"), now=site.now)
    site.run_until(lambda: site.state_of("h") == "completed", limit=8)


def test_all_best_effort_work_pauses_beside_a_task_that_stays_over_its_target():
    """A latency just over the target, where throttling a little would seem enough."""
    site = make_site(workers=1)
    site.submit(make_job("s", make_serving(1)))
    site.run(0.5)
    site.submit(make_job("l", make_best_effort("light", 3, estimate=60.0)))
    site.run(1)
    site.cell.weights.restore(KindId("front"), KindId("light"), 50.0, Seconds(site.now))
    worker = site.workers["w0"]
    worker.tail_latency = lambda worker, attempt: (
        1.001 * TARGET if attempt.serving else 1.0
    )
    site.run(2)
    assert {
        attempt.speed_percent
        for attempt in worker.attempts.values()
        if not attempt.serving
    } == {0}


def test_best_effort_work_is_not_placed_where_it_would_push_a_task_over_its_target():
    site = make_site(workers=1)
    site.submit(make_job("s", make_serving(1)))
    site.run(0.5)
    pressed = IDLE_TAIL_LATENCY / (1 - 0.70)
    site.workers["w0"].tail_latency = lambda worker, attempt: (
        pressed if attempt.serving else 2.0
    )
    site.run(1)
    site.submit(make_job("h", make_best_effort("heavy", 1)))
    site.run(2)
    assert site.count_starts() == 1


def test_throttled_work_moves_to_a_worker_without_interference():
    site = make_site(workers=2)
    site.submit(make_job("s", make_serving(2)))
    site.run(0.5)
    crowded = next(w for w in site.workers.values() if w.attempts)
    other = next(w for w in site.workers.values() if w is not crowded)
    other.entry = msgspec.structs.replace(other.entry, state=WorkerState.DRAINING)
    site.update_workers()
    step = make_best_effort("heavy", 2, estimate=20.0)
    site.submit(make_job("h", msgspec.structs.replace(step, checkpoints=True)))
    site.run(1)
    crowded.tail_latency = lambda worker, attempt: (
        0.1 if attempt.serving else 2.0 * attempt.speed_percent / 100
    )
    site.run(1)
    other.entry = msgspec.structs.replace(other.entry, state=WorkerState.READY)
    site.update_workers()
    site.run_until(lambda: len(other.attempts) == 2, limit=5)

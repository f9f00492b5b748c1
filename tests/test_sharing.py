"""Work that fills beside serving tasks: what is learned, and what is slowed."""

import msgspec
import pytest

from plantainhinge.core.ids import KindId, Seconds
from plantainhinge.core.resources import Resources
from plantainhinge.fleet.model import WorkerState
from plantainhinge.jobs.model import Step

from .cell_site import ModelSite, make_entry, make_job

TARGET = 0.045
IDLE_TAIL = 0.01
OWN_LOAD = 0.42
HEAVY, LIGHT = 3.0, 0.2


def make_serving(count=1):
    return Step(
        count=count,
        request=Resources(4000, 100),
        estimate=1.0,
        lasting=True,
        image="front",
        target_seconds=TARGET,
    )


def make_filling(image, count, estimate=2.0):
    return Step(
        count=count,
        request=Resources(2000, 100),
        estimate=estimate,
        image=image,
        fills=True,
    )


def model_tail(worker, run):
    """Tails as a queue has them: each image beside adds its weight to the load."""
    if not run.serving:
        return 2.0 * run.pace / 100
    load = OWN_LOAD
    for other in worker.runs.values():
        if not other.serving:
            weight = HEAVY if other.image == "heavy" else LIGHT
            load += weight * 2.0 * other.pace / 100 / 16
    return IDLE_TAIL / max(0.05, 1.0 - load)


def make_site(workers=3):
    site = ModelSite(*[make_entry(f"w{index}", cores=16) for index in range(workers)])
    for worker in site.workers.values():
        worker.tail = model_tail
    return site


def measure_late_share(site, seconds):
    late = total = 0
    for _ in range(round(seconds / 0.05)):
        site.run(0.05)
        for worker in site.workers.values():
            for run in worker.runs.values():
                if run.serving:
                    total += 1
                    late += model_tail(worker, run) > TARGET
    return late / total


def test_weights_of_pairs_are_told_apart():
    site = make_site()
    site.submit(make_job("s", make_serving(6)))
    for index in range(30):
        site.submit(make_job(f"h{index}", make_filling("heavy", 2)))
        site.submit(make_job(f"l{index}", make_filling("light", 2)))
        site.run(1)
    weights = {
        image: site.cell.weights.find(KindId("front"), KindId(image), Seconds(site.now))
        for image in ("heavy", "light")
    }
    assert weights["heavy"] > 2 * weights["light"]


def test_serving_tasks_stay_below_their_target_beside_heavy_work():
    site = make_site(workers=1)
    site.submit(make_job("s", make_serving(2)))
    site.run(1)
    for index in range(10):
        site.submit(make_job(f"h{index}", make_filling("heavy", 3)))
    site.run(5)
    assert measure_late_share(site, 20) < 0.05


def test_light_work_uses_the_processors_beside_serving_tasks():
    site = make_site(workers=1)
    site.submit(make_job("s", make_serving(2)))
    site.run(1)
    site.submit(make_job("l", make_filling("light", 8)))
    site.run_until(lambda: site.state_of("l") == "completed", limit=8)


@pytest.mark.parametrize("pressed", [True, False])
def test_paced_work_speeds_up_again_once_there_is_room(pressed):
    site = make_site(workers=1)
    site.submit(make_job("s", make_serving(1)))
    site.run(0.5)
    site.submit(make_job("h", make_filling("heavy", 1, estimate=30.0)))
    site.run(1)
    if pressed:
        worker = site.workers["w0"]
        worker.tail = lambda worker, run: 0.2 if run.serving else 1.0
        site.run(1)
        assert min(run.pace for run in worker.runs.values()) == 0
        worker.tail = model_tail
    site.run(3)
    paces = [run.pace for run in site.workers["w0"].runs.values()]
    assert min(paces) >= 50


def test_all_work_rests_beside_a_task_that_stays_over_its_target():
    """Just over the target beside heavy work, where a small cut seems enough."""
    site = make_site(workers=1)
    site.submit(make_job("s", make_serving(1)))
    site.run(0.5)
    site.submit(make_job("l", make_filling("light", 3, estimate=60.0)))
    site.run(1)
    site.cell.weights.restore(KindId("front"), KindId("light"), 50.0, Seconds(site.now))
    worker = site.workers["w0"]
    worker.tail = lambda worker, run: 1.001 * TARGET if run.serving else 1.0
    site.run(2)
    assert {run.pace for run in worker.runs.values() if not run.serving} == {0}


def test_nothing_is_placed_where_it_would_push_a_task_over_its_target():
    site = make_site(workers=1)
    site.submit(make_job("s", make_serving(1)))
    site.run(0.5)
    pressed = IDLE_TAIL / (1 - 0.70)
    site.workers["w0"].tail = lambda worker, run: pressed if run.serving else 2.0
    site.run(1)
    site.submit(make_job("h", make_filling("heavy", 1)))
    site.run(2)
    assert site.count_starts() == 1


def test_slowed_work_moves_to_where_it_disturbs_nobody():
    site = make_site(workers=2)
    site.submit(make_job("s", make_serving(2)))
    site.run(0.5)
    crowded = next(w for w in site.workers.values() if w.runs)
    other = next(w for w in site.workers.values() if w is not crowded)
    other.entry = msgspec.structs.replace(other.entry, state=WorkerState.DRAINING)
    site.see()
    step = make_filling("heavy", 2, estimate=20.0)
    site.submit(make_job("h", msgspec.structs.replace(step, checkpoints=True)))
    site.run(1)
    crowded.tail = lambda worker, run: 0.1 if run.serving else 2.0 * run.pace / 100
    site.run(1)
    other.entry = msgspec.structs.replace(other.entry, state=WorkerState.READY)
    site.see()
    site.run_until(lambda: len(other.runs) == 2, limit=5)

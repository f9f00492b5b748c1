"""Long-running steps that arrive together are placed together, grouped by image."""

import pytest

from plantainhinge.core.resources import Resources
from plantainhinge.dispatch.batching import DELAY_SECONDS_MAX
from plantainhinge.jobs.model import Step

from .simulated_cell import SimulatedCell, make_entry, make_job, measure_late_share

ARRIVALS = 0.05


def make_serving(image, count, *, per_worker_max=0):
    return Step(
        count=count,
        request=Resources(4000, 100),
        estimate=1.0,
        long_running=True,
        image=image,
        target_seconds=0.045,
        per_worker_max=per_worker_max,
    )


def make_site(workers):
    return SimulatedCell(
        *[make_entry(f"w{index}", cores=16) for index in range(workers)]
    )


def list_images(site):
    """Return the images on each worker that runs anything."""
    return [
        {attempt.image for attempt in worker.attempts.values()}
        for worker in site.workers.values()
        if worker.attempts
    ]


def test_images_that_arrive_in_turn_get_workers_of_their_own():
    site = make_site(9)
    for index in range(3):
        for image in ("a", "b", "c"):
            site.submit(make_job(f"{image}{index}", make_serving(image, 3)))
            site.run(ARRIVALS)
    site.run(2)
    assert site.count_starts() == 27
    assert all(len(images) == 1 for images in list_images(site))


def test_steps_that_must_be_spread_go_first_so_that_others_join_them():
    site = make_site(6)
    for image in ("a", "b"):
        site.submit(make_job(f"{image}-packed", make_serving(image, 6)))
        spread = make_serving(image, 3, per_worker_max=1)
        site.submit(make_job(f"{image}-spread", spread))
    site.run(2)
    assert site.count_starts() == 18
    assert all(len(images) == 1 for images in list_images(site))


def test_a_long_running_step_that_arrives_alone_is_placed_at_once():
    site = make_site(3)
    site.submit(make_job("first", make_serving("a", 2)))
    site.run(0.1)
    assert site.count_starts() == 2
    site.run(2)
    site.submit(make_job("second", make_serving("b", 2)))
    site.run(0.1)
    assert site.count_starts() == 4


def test_a_stream_of_arrivals_delays_none_for_longer_than_the_bound():
    site = make_site(9)
    started = {}
    for index in range(30):
        site.submit(make_job(f"j{index}", make_serving("a", 1)))
        submitted = site.now
        site.run(0.1)
        for worker in site.workers.values():
            for task, _ in worker.attempts:
                started.setdefault(task.job, site.now)
        assert f"j{index}" not in started or started[f"j{index}"] >= submitted
    for index in range(20):
        delay = started[f"j{index}"] - 0.1 * index
        assert delay <= DELAY_SECONDS_MAX + 0.3


@pytest.mark.parametrize("workers", [2, 3])
def test_a_restart_is_not_delayed_by_new_steps(workers):
    site = make_site(workers)
    site.submit(make_job("old", make_serving("a", 1)))
    site.run(1)
    (worker,) = [each for each in site.workers.values() if each.attempts]
    site.submit(make_job("new", make_serving("b", 1)))
    site.submit(make_job("newer", make_serving("c", 1)))
    worker.fails_at_once = True
    site.run(0.1)
    worker.fails_at_once = False
    before = site.count_starts()
    site.run(0.2)
    assert before >= 1
    assert any(
        task.job == "old" for each in site.workers.values() for task, _ in each.attempts
    )


IMAGES = ("a", "b", "c")
TARGET_SECONDS = 0.045
IDLE_SECONDS = 0.01
# the users' aim for a calm day
FINISHED_SHARE_MIN = 0.82


def simulate_pairs(worker, attempt):
    """Return a tail latency, or cores in use; each image is light beside its own only.

    A best-effort image ``fill-a`` hardly disturbs ``a`` and disturbs the others much.
    """
    if not attempt.serving:
        return 2.0 * attempt.speed_percent / 100
    load = 0.42
    for other in worker.attempts.values():
        if not other.serving:
            weight = 0.2 if other.image.endswith(attempt.image) else 2.5
            load += weight * 2.0 * other.speed_percent / 100 / 16
    return IDLE_SECONDS / max(0.05, 1.0 - load)


def test_best_effort_jobs_finish_beside_serving_steps_that_arrived_together():
    """Nine serving steps at once, then best-effort work for most idle processors."""
    site = make_site(9)
    for worker in site.workers.values():
        worker.tail_latency = simulate_pairs
    for count, limit in ((2, 0), (5, 0), (2, 1)):
        for image in IMAGES:
            step = make_serving(image, count, per_worker_max=limit)
            site.submit(make_job(f"{image}{count}-{limit}", step))
    site.run(2)
    late = []
    for index in range(40):
        for image in IMAGES:
            fill = Step(
                count=6,
                request=Resources(2000, 100),
                estimate=1.0,
                image=f"fill-{image}",
                best_effort=True,
            )
            site.submit(make_job(f"f{image}{index}", fill))
        late.append(measure_late_share(site, 0.5, target=TARGET_SECONDS))
    finished = sum(
        site.state_of(f"f{image}{index}") == "completed"
        for index in range(40)
        for image in IMAGES
    )
    assert finished >= FINISHED_SHARE_MIN * 120
    learned = late[10:]
    assert sum(learned) / len(learned) < 0.05

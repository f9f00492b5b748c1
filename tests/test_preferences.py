"""Rules that keep work off a worker as long as there is another one."""

import pytest

from plantainhinge.core.resources import Resources
from plantainhinge.fleet.model import EndCause

from .simulated_cell import (
    IDLE_SECONDS_MAX,
    SimulatedCell,
    make_entry,
    make_job,
    make_policy,
    make_step,
)

KIND = "kind-b"
OTHER = "kind-a"
PATIENT = make_policy(attempts=50)


def make_site(*, others=3):
    """Return a site with one worker of a kind, which has just been faulty."""
    entries = [make_entry(f"w{index}", labels=(OTHER,)) for index in range(others)]
    site = SimulatedCell(make_entry("faulty", labels=(KIND,)), *entries)
    site.run(0.2)
    faulty = site.workers["faulty"]
    faulty.fails_at_once = True
    site.submit(make_job("early", make_step(count=4, label=KIND), policy=PATIENT))
    site.run(1)
    site.cell.cancel_job("early", now=site.now)
    faulty.fails_at_once = False
    site.run(4.5)
    return site


def count_running(site, job):
    return sum(key.job == job for _, key, _ in site.list_running())


def submit_probe(site, **step):
    """Submit a job whose task is the probe of the faulty worker."""
    step = {"label": KIND, "estimate": 200.0} | step
    site.submit(make_job("probe", make_step(**step), policy=PATIENT))
    site.run_until(lambda: count_running(site, "probe"), limit=5)
    assert site.cell.workers["faulty"].probe is not None


PROBES = {
    "long": {},
    "best-effort": {"best_effort": True},
    "long-running": {"long_running": True},
}


@pytest.mark.parametrize("probe", PROBES.values(), ids=PROBES)
@pytest.mark.parametrize(
    "step",
    [{"estimate": 0.3}, {"long_running": True}, {"count": 3, "gang": True}],
    ids=["short", "long-running", "gang"],
)
def test_a_job_does_not_wait_for_the_probe_of_its_only_worker(probe, step):
    # review/8: it waited for as long as the estimate of the probe said, or for good
    site = make_site()
    submit_probe(site, **probe)
    site.submit(make_job("j", make_step(label=KIND, **step)))
    site.run_until(lambda: count_running(site, "j"), limit=IDLE_SECONDS_MAX)


def test_a_job_does_not_wait_for_a_probe_that_was_silent():
    # review/8 on a related path: the probe outlives an outage of its worker
    site = make_site()
    submit_probe(site)
    site.workers["faulty"].unreachable = True
    site.run(1)
    site.workers["faulty"].unreachable = False
    site.submit(make_job("j", make_step(label=KIND, estimate=0.3)))
    site.run_until(lambda: count_running(site, "j"), limit=IDLE_SECONDS_MAX)


def test_a_success_beside_a_long_probe_opens_the_worker():
    # review/8: what the worker has finished shows that it is well
    site = make_site()
    submit_probe(site)
    site.submit(make_job("j", make_step(label=KIND, estimate=0.3)))
    site.run_until(lambda: site.state_of("j") == "completed", limit=5)
    site.run(0.1)
    site.submit(make_job("k", make_step(count=4, label=KIND)))
    site.run(0.2)
    assert count_running(site, "k") == 4


def test_a_worker_that_fails_everything_gets_one_job_a_second():
    # the other side of review/8: such a worker must not take the whole queue
    site = make_site()
    submit_probe(site)
    faulty = site.workers["faulty"]
    faulty.fails = True
    before = len(faulty.started)
    for index in range(20):
        step = make_step(label=KIND, estimate=1.8)
        site.submit(make_job(f"j{index}", step, policy=PATIENT))
    site.run(9)
    assert len(faulty.started) - before <= 9


def test_a_job_that_others_will_have_room_for_waits_for_them():
    # the other side of review/8: in an overload the faulty worker gets one at a time
    site = SimulatedCell(make_entry("faulty"), make_entry("w1"))
    site.run(0.2)
    site.submit(make_job("busy", make_step(count=16, estimate=20.0), policy=PATIENT))
    site.run(0.2)
    faulty = site.workers["faulty"]
    for key in list(faulty.attempts):
        faulty._end(key, EndCause.FAILED)
    site.submit(make_job("probe", make_step(estimate=200.0)))
    site.run_until(lambda: count_running(site, "probe"), limit=5)
    site.submit(make_job("j", make_step(request=Resources(500, 100))))
    site.run(4)
    assert count_running(site, "j") == 0


def test_a_best_effort_task_larger_than_any_worker_starts():
    # review/REPORT-2: it waited for good once the only worker of its size was lost
    site = SimulatedCell(*[make_entry(f"w{index}") for index in range(3)])
    step = make_step(best_effort=True, request=Resources(12_000, 100))
    site.submit(make_job("j", step))
    site.run_until(lambda: count_running(site, "j"), limit=IDLE_SECONDS_MAX)


def test_a_new_lasting_task_starts_on_an_empty_worker_that_it_nearly_fills():
    # review/REPORT-2: it waited 30 s beside empty workers to leave some of one free
    site = SimulatedCell(*[make_entry(f"w{index}") for index in range(3)])
    step = make_step(long_running=True, request=Resources(7_600, 100))
    site.submit(make_job("j", step))
    site.run_until(lambda: count_running(site, "j"), limit=IDLE_SECONDS_MAX)


def test_new_lasting_tasks_leave_headroom_under_load():
    # the other side: short-lived work needs room beside tasks that stay for good
    site = SimulatedCell(*[make_entry(f"w{index}") for index in range(2)])
    site.submit(make_job("busy", make_step(count=12, estimate=60.0)))
    site.run(0.2)
    step = make_step(long_running=True, request=Resources(1_500, 100))
    site.submit(make_job("j", step))
    site.run(10)
    assert count_running(site, "j") == 0


def test_best_effort_tasks_wait_for_idle_processors_under_load():
    # the other side: more of them at once would only slow each other down
    site = SimulatedCell(*[make_entry(f"w{index}") for index in range(2)])
    filling = make_step(best_effort=True, request=Resources(7_000, 100), estimate=60.0)
    for name in ("a", "b", "c"):
        site.submit(make_job(name, filling))
    site.run(10)
    assert count_running(site, "c") == 0


# the same, where there is more to choose from than one worker of a kind
@pytest.mark.parametrize("others", [1, 6])
def test_a_probe_is_left_alone_while_other_workers_have_room(others):
    site = make_site(others=others)
    submit_probe(site)
    for index in range(4):
        site.submit(make_job(f"j{index}", make_step(estimate=5.0)))
    site.run(2)
    assert len(site.workers["faulty"].attempts) == 1
    assert len(site.list_running()) == 5

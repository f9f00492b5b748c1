"""The log tells why a task doesn't run."""

from pathlib import Path

import msgspec

from plantainhinge.dispatch.idle_tasks import IDLE_SECONDS_MIN, IdleTasks
from plantainhinge.dispatch.placement_rules import list_rules
from plantainhinge.fleet.model import EndCause, WorkerState

from .simulated_cell import SimulatedCell, make_entry, make_job, make_step

ROOT = Path(__file__).parent.parent


def observe_after(site, seconds):
    idle = IdleTasks()
    idle.observe(site.cell, now=site.now)
    site.run(seconds)
    return idle.observe(site.cell, now=site.now)


def make_site():
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    site.submit(make_job("watch", make_step(long_running=True)))
    site.run(0.5)
    return site


def test_a_running_task_is_not_reported():
    assert observe_after(make_site(), 5) == []


def test_a_task_that_waits_is_reported_with_the_workers_that_have_room():
    site = make_site()
    for worker in site.workers.values():
        worker.entry = msgspec.structs.replace(worker.entry, state=WorkerState.DRAINING)
    site.update_workers()
    site.run(0.2)
    (event,) = observe_after(site, 3)
    assert (event.positions, event.waiting) == ((0,), 1)
    assert event.obstacles == ("draining=2",)
    assert event.idle_s > IDLE_SECONDS_MIN


def test_a_start_that_is_never_confirmed_is_reported_as_ordered():
    site = make_site()
    for worker in site.workers.values():
        worker.ignores_starts = True
        for key in list(worker.attempts):
            worker._end(key, EndCause.FAILED)
    site.run(0.2)
    (event,) = observe_after(site, 3)
    assert (event.waiting, event.ordered) == (0, 1)


def test_a_job_with_nothing_running_is_reported_with_the_rule_that_keeps_it():
    # review/8: no line and no figure told what a job was waiting for
    site = SimulatedCell(make_entry("w1"), make_entry("w2"))
    site.run(0.2)
    site.submit(make_job("j", make_step(label="ssd")))
    (event,) = observe_after(site, 3)
    assert (event.lasting, event.obstacles) == (False, ("constrained=2",))


def test_jobs_that_wait_for_room_are_not_reported():
    site = SimulatedCell(make_entry("w1"))
    site.submit(make_job("busy", make_step(count=8, estimate=60.0)))
    site.run(0.2)
    site.submit(make_job("j", make_step()))
    assert observe_after(site, 3) == []


def test_the_rules_are_on_the_page_of_the_design():
    page = (ROOT / "docs" / "design" / "platform.md").read_text(encoding="utf-8")
    for rule in list_rules():
        row = f"| `{rule.name}` | {rule.kind.value} | {rule.ends} |"
        assert row in page, row

"""Order of placement, and its effect on jobs in an overload."""

import random

from plantainhinge.core.ids import Epoch
from plantainhinge.core.resources import Resources
from plantainhinge.dispatch.open_jobs import open_job
from plantainhinge.dispatch.queueing import Urgency, order_steps, rank_step
from plantainhinge.jobs.model import JobState, Step, compute_critical_path

from .simulated_cell import SimulatedCell, make_entry, make_job, make_policy

EPOCH = Epoch(1)


def open_steps(*records):
    return [open_job(record, None, wall=0.0).occurrences[0][0] for record in records]


def make_step(**changes):
    return Step(**({"request": Resources(1000, 100), "estimate": 1.0} | changes))


def test_the_critical_path_counts_only_the_given_steps():
    steps = (
        make_step(estimate=1.0),
        make_step(estimate=5.0),
        make_step(estimate=2.0, depends_on=(0, 1)),
    )
    assert compute_critical_path(steps) == 7.0
    assert compute_critical_path(steps, only={0, 2}) == 3.0


def test_jobs_that_can_be_in_time_go_before_late_jobs():
    late = make_job("late", make_step(estimate=2.0), accepted_at=0.0)
    fresh = make_job("fresh", make_step(estimate=2.0), accepted_at=9.0)
    ordered = order_steps(open_steps(late, fresh), wall=9.5)
    assert [step.job.job_id for step in ordered] == ["fresh", "late"]


def test_an_urgent_priority_goes_first_even_when_late():
    urgent = make_job("urgent", make_step(), policy=make_policy(priority=0))
    batch = make_job("batch", accepted_at=50.0, policy=make_policy(priority=2))
    ordered = order_steps(open_steps(batch, urgent), wall=50.0)
    assert ordered[0].job.job_id == "urgent"


def test_late_jobs_go_by_remaining_path_and_overdue_jobs_last():
    (long, short, overdue) = open_steps(
        make_job("long", make_step(estimate=4.0), accepted_at=0.0),
        make_job("short", make_step(estimate=3.0), accepted_at=2.0),
        make_job("overdue", make_step(estimate=0.5), accepted_at=0.0),
    )
    ordered = order_steps([long, short, overdue], wall=8.0)
    assert [step.job.job_id for step in ordered] == ["short", "long", "overdue"]


def test_long_running_tasks_go_after_jobs_in_time_and_before_late_jobs():
    (lasting, in_time, late) = open_steps(
        make_job("lasting", make_step(long_running=True), accepted_at=5.0),
        make_job("in-time", accepted_at=5.0),
        make_job("late", accepted_at=0.0),
    )
    ranks = [rank_step(step, wall=5.0)[1] for step in (lasting, in_time, late)]
    assert ranks == [Urgency.LASTING, Urgency.IN_TIME, Urgency.LATE]


def test_in_an_overload_most_capacity_goes_to_jobs_that_finish_in_time():
    """Demand is about twice the capacity: at best 83 of the 160 jobs can be in time."""
    rng = random.Random(7)
    site = SimulatedCell(*[make_entry(f"w{index}", cores=4) for index in range(4)])
    due, done = {}, {}
    for index in range(160):
        count = rng.randint(1, 6)
        record = make_job(f"j{index}", make_step(count=count), accepted_at=site.now)
        site.submit(record)
        due[record.job] = site.now + 2.25
        site.run(0.1)
        _record_completed(site, done)
    site.run(20)
    _record_completed(site, done)
    in_time = sum(done.get(job, 1e9) <= at for job, at in due.items())
    assert in_time >= 0.75 * 83


def _record_completed(site, done):
    for job in site.log:
        if site.state_of(job) == "completed":
            done.setdefault(job, site.now)


def test_started_jobs_go_before_others():
    (begun, fresh) = open_steps(
        make_job("begun", make_step(), accepted_at=1.0), make_job("fresh")
    )
    begun.job.state = JobState.RUNNING
    ordered = order_steps([fresh, begun], wall=0.5)
    assert [step.job.job_id for step in ordered] == ["begun", "fresh"]

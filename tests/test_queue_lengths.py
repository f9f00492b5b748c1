"""The number of queued jobs, as the log tells it to each instance.

Review/10 (MIXED): a job counted as begun once its start was ordered, so that jobs whose
orders were refused, unanswered or lost with a worker were missing from the number.
"""

import pytest

from plantainhinge.fleet.model import OrderOutcome, OrderResponse
from plantainhinge.jobs.table import JobTable

from .simulated_cell import (
    LEASE_SECONDS_MAX,
    SimulatedCell,
    make_entry,
    make_job,
    make_policy,
)

QUEUE = make_policy().queue


def make_site(*, workers=1):
    site = SimulatedCell(*[make_entry(f"w{index}") for index in range(workers)])
    site.run(0.5)
    return site


def count_queued(site):
    """Return the number as an instance counts it that reads the log."""
    table = JobTable()
    for record in (*site.records.values(), *site.log.values()):
        table.apply(record)
    return table.count_queued(QUEUE)


def make_refusal(outcome):
    return lambda order, step: OrderResponse(outcome=outcome)


@pytest.mark.parametrize(
    "outcome",
    [
        OrderOutcome.REFUSED,
        OrderOutcome.NO_CAPACITY,
        OrderOutcome.NOT_SENT,
        OrderOutcome.UNKNOWN,
    ],
)
def test_a_job_whose_orders_are_not_accepted_stays_queued(outcome):
    # review/10: the order alone took the job off the queue
    site = make_site()
    site.workers["w0"].start = make_refusal(outcome)
    site.submit(make_job("j"))
    site.run(3)
    assert count_queued(site) == 1


def test_a_job_ordered_at_a_lost_worker_stays_queued_until_it_begins_elsewhere():
    # review/10 itself: pending was 0 until the leases of the worker had ended
    site = make_site()
    lost = site.workers["w0"]
    lost.ignores_starts = True
    site.submit(make_job("j"))
    site.run(0.1)
    lost.unreachable = True
    site.run(5)
    assert count_queued(site) == 1
    site.workers["w1"] = type(lost)(make_entry("w1"), now=site.now)
    site.update_workers()
    site.run_until(site.list_running, limit=LEASE_SECONDS_MAX)
    site.run(0.1)
    assert count_queued(site) == 0


def test_a_successor_counts_what_its_predecessor_only_ordered_as_queued():
    # review/10 across owners: the record of an order told the next one of a start
    site = make_site()
    site.workers["w0"].ignores_starts = True
    job = make_job("j")
    site.submit(job)
    site.run(0.2)
    site.workers["w0"].unreachable = True
    site.take_over([job])
    site.run(3)
    assert count_queued(site) == 1


@pytest.mark.parametrize("succeeded", [False, True])
def test_a_job_whose_accepted_answer_was_lost_leaves_the_queue_with_the_report(
    succeeded,
):
    # the other side of review/10: what a worker lists has begun, whoever ordered it
    site = make_site()
    site.workers["w0"].answers_to_lose = 1
    job = make_job("j")
    site.submit(job)
    if succeeded:
        site.log_up = False
        site.run(0.1)
        site.log_up = True
        site.take_over([job])
    site.run(0.3)
    assert count_queued(site) == 0


def test_a_job_that_ended_before_any_answer_leaves_the_queue():
    # the other side of review/10: an end shows that the task had begun
    site = make_site()
    worker = site.workers["w0"]
    worker.answers_to_lose = 1
    worker.fails_at_once = True
    site.submit(make_job("j", policy=make_policy(attempts=9)))
    site.run(0.2)
    worker.start = make_refusal(OrderOutcome.REFUSED)
    site.run(1)
    assert count_queued(site) == 0

"""Queues that need advice: requests, and the tickets that starts carry."""

import msgspec

from plantainhinge.core.resources import Resources
from plantainhinge.fleet.model import Advice, WorkerState
from plantainhinge.jobs.model import Step

from .simulated_cell import SimulatedCell, make_entry, make_job, make_policy

ADVISED = make_policy(advised=True)


def make_site(*, jobs=1, count=2):
    site = SimulatedCell(*[make_entry(f"w{index}") for index in range(40)])
    site.run(0.2)
    step = Step(count=count, request=Resources(1000, 100), estimate=1.0)
    for index in range(jobs):
        site.submit(make_job(f"j{index}", step, policy=ADVISED, accepted_at=index))
    return site


def ask(site, *good, valid=3.0):
    step, request = site.cell.find_advice_request(now=site.now, wall=site.now)
    tickets = tuple((worker, f"ticket-{worker}") for worker in good)
    advice = Advice(tickets=tickets, valid_seconds=valid)
    site.cell.handle_advice(step, request, advice, now=site.now)
    return request


def test_nothing_starts_without_a_ticket():
    site = make_site()
    site.run(1)
    assert site.count_starts() == 0


def test_a_request_names_few_workers_and_serves_the_whole_step():
    site = make_site()
    request = ask(site, "w3")
    assert len(request.workers) == 30
    site.run(0.2)
    assert {worker for worker, _, _ in site.list_running()} == {"w3"}
    assert site.count_starts() == 2
    assert site.cell.find_advice_request(now=site.now, wall=site.now) is None


def test_a_start_carries_its_ticket():
    site = make_site(count=1)
    ask(site, "w3")
    site.cell.decide(now=site.now, wall=site.now)
    (start,) = site.cell.take_commands()
    assert start.order.ticket == "ticket-w3"


def test_workers_not_asked_about_yet_come_first_the_next_time():
    site = make_site()
    first = ask(site)
    site.run(1.1)
    second = ask(site, "w5")
    assert set(second.workers) - set(first.workers)


def test_tickets_expire():
    site = make_site()
    step = Step(count=1, request=Resources(1000, 100), estimate=1.0)
    ask(site, "w3", valid=1.0)
    site.run(1.5)
    assert site.count_starts() == 2
    site.submit(make_job("later", step, policy=ADVISED))
    site.run(0.5)
    assert site.count_starts() == 2


def test_the_most_urgent_step_is_asked_about_first():
    site = make_site(jobs=3)
    assert ask(site).task.job == "j0"
    assert ask(site).task.job == "j1"


def test_a_ticket_for_a_worker_that_takes_no_work_prevents_no_further_request():
    site = make_site()
    leaving = site.workers["w3"]
    leaving.entry = msgspec.structs.replace(leaving.entry, state=WorkerState.DRAINING)
    ask(site, "w3", valid=60.0)
    site.update_workers()
    site.run(1.1)
    assert site.count_starts() == 0
    ask(site, "w4")
    site.run(0.2)
    assert {worker for worker, _, _ in site.list_running()} == {"w4"}

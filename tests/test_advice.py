"""Queues that need advice: requests, and the tickets that starts carry."""

import msgspec
import pytest

from plantainhinge.core.resources import Resources
from plantainhinge.fleet.model import Advice, WorkerState
from plantainhinge.jobs.model import Step

from .advice_service import AdviceService
from .simulated_cell import (
    IDLE_SECONDS_MAX,
    SimulatedCell,
    make_entry,
    make_job,
    make_policy,
    make_step,
)

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


GANG = make_step(
    count=6,
    gang=True,
    per_worker_max=1,
    request=Resources(4000, 100),
    estimate=30.0,
)


def submit_advised(site, step):
    site.submit(make_job("j", step, policy=ADVISED, accepted_at=site.now))


def count_running(site):
    return sum(key.job == "j" for _, key, _ in site.list_running())


def make_large_site(count):
    """Return a site on which the last workers have the least free processors."""
    site = SimulatedCell(*[make_entry(f"w{index}") for index in range(count)])
    site.run(0.2)
    for index in range(count):
        step = make_step(
            long_running=True, request=Resources(4 * index, 0), label=f"n{index}"
        )
        worker = site.workers[f"w{index}"]
        worker.entry = make_entry(f"w{index}", labels=(f"n{index}",))
        site.submit(make_job(f"busy{index}", step))
    site.update_workers()
    site.run(1)
    return site


@pytest.mark.parametrize("count", [37, 350])
def test_a_gang_starts_although_few_of_many_workers_are_allowed(count):
    # review/7: one usable ticket stopped the search for the others that a gang needs
    site = make_large_site(count)
    allowed = {f"w{index}" for index in range(count - 1, 0, -count // 6)}
    assert len(allowed) == GANG.count
    service = AdviceService(site, allowed)
    submit_advised(site, GANG)
    waited = service.run_until(lambda: count_running(site) == GANG.count, limit=30)
    assert waited <= IDLE_SECONDS_MAX


def test_a_gang_that_starts_again_needs_one_short_call():
    # review/7 at scale: a search through all workers may take longer than tickets last
    site = make_large_site(350)
    allowed = {f"w{index}" for index in range(300, 306)}
    service = AdviceService(site, allowed, valid_seconds=1.5)
    submit_advised(site, GANG)
    service.run_until(lambda: count_running(site) == GANG.count, limit=30)
    site.run(service.valid_seconds)
    ((worker, _, _), *_) = [row for row in site.list_running() if row[1].job == "j"]
    site.workers[worker].lease_end = 0.0
    service.run_until(lambda: count_running(site) < GANG.count, limit=1)
    calls = len(service.calls)
    service.run_until(lambda: count_running(site) == GANG.count, limit=3)
    assert [set(names) <= allowed for names in service.calls[calls:]] == [True]


def test_a_gang_starts_once_the_service_has_changed_its_mind():
    # review/7: the same workers were asked about again, however often they were refused
    site = make_large_site(70)
    service = AdviceService(site, {f"w{index}" for index in range(5)})
    submit_advised(site, GANG)
    service.run_until(lambda: site.now > 5, limit=10)
    assert count_running(site) == 0
    service.allowed = {f"w{index}" for index in range(60, 66)}
    service.run_until(lambda: count_running(site) == GANG.count, limit=6)


def test_a_ticket_for_a_worker_that_a_task_avoids_prevents_no_further_request():
    # review/7 on a related path: the only allowed worker so far is one it failed on
    site = make_site(count=1)
    ask(site, "w3", valid=60.0)
    site.workers["w3"].fails_at_once = True
    site.run(1.1)
    assert site.list_running() == []
    request = ask(site, "w4")
    assert "w3" not in request.workers
    site.run(0.2)
    assert {worker for worker, _, _ in site.list_running()} == {"w4"}


def test_a_ticket_of_a_former_incarnation_is_asked_for_again():
    # review/7 on a related path: a ticket is valid during one life of its worker
    site = make_site(count=1)
    worker = site.workers["w3"]
    step, request = site.cell.find_advice_request(now=site.now, wall=site.now)
    advice = Advice(tickets=(("w3", "former"),), valid_seconds=60.0)
    site.cell.handle_advice(step, request, advice, now=site.now)
    worker.entry = make_entry("w3", incarnation=2)
    site.update_workers()
    site.run(1.1)
    assert site.count_starts() == 0
    assert ask(site, "w3").workers == ("w3",)


def test_no_advice_is_asked_for_a_gang_without_room():
    # the other side of review/7: a search for a gang that can't start delays others
    site = make_site()
    too_many = make_step(count=500, gang=True, request=Resources(4000, 100))
    site.submit(make_job("a", too_many, policy=ADVISED, accepted_at=-1))
    assert ask(site).task.job == "j0"


def test_a_search_lets_other_steps_go_between_its_calls():
    # the other side of review/7: the most urgent step could keep the service for itself
    site = make_large_site(70)
    service = AdviceService(site, set())
    submit_advised(site, GANG)
    site.submit(make_job("k", make_step(), policy=ADVISED, accepted_at=site.now + 60))
    service.run_until(lambda: len(service.calls) == 3, limit=5)
    assert service.calls[0] == service.calls[1]
    assert not set(service.calls[2]) & set(service.calls[0])

"""Workers whose capacity shrinks and grows while they run."""

import msgspec
import pytest

from plantainhinge.core.ids import DomainId, ServiceId
from plantainhinge.core.resources import Resources
from plantainhinge.dispatch.assignment import DIRECTORY_AGE_SECONDS_MAX
from plantainhinge.fleet.model import OrderOutcome, OrderResponse, WorkerState

from .simulated_cell import SERVICE, SimulatedCell, make_entry, make_job, make_step
from .test_orders import restart
from .test_trials import find_task, open_suspect_site

HALF = Resources(4000, 100)
UNKNOWN = OrderResponse(outcome=OrderOutcome.UNKNOWN)


def open_site(*names, **options):
    site = SimulatedCell(*(make_entry(name) for name in names or ("w1",)), **options)
    site.run(0.5)
    return site


def set_millicores(site, name, millicores):
    site.workers[name].set_millicores(millicores)
    site.update_workers()


def list_overloads(site):
    return [key for worker in site.workers.values() for key in worker.overloads]


def order_without_answer(site, **step):
    """Order a start whose answer is lost, carried out or not; return its command."""
    site.submit(make_job("j", make_step(**step)))
    site.cell.decide(now=site.now, wall=site.now)
    (start,) = site.cell.take_commands()
    site.cell.handle_start_answer(start.attempt, UNKNOWN, now=site.now)
    return start


def test_nothing_starts_on_a_worker_that_holds_more_than_its_capacity():
    site = open_site()
    site.submit(make_job("first", make_step(count=2, request=HALF, estimate=3.0)))
    site.run(0.2)
    set_millicores(site, "w1", 5000)
    site.submit(make_job("next", make_step(request=Resources(1000, 100))))
    site.run(2)
    assert len(site.list_running()) == 2
    site.run_until(lambda: site.state_of("next") == "completed", limit=4)
    assert site.workers["w1"].stopped == []
    assert list_overloads(site) == []


def test_work_goes_on_at_once_when_capacity_grows_again():
    site = open_site()
    set_millicores(site, "w1", 0)
    site.submit(make_job("j", make_step(request=Resources(8000, 100))))
    site.run(10)
    assert site.count_starts() == 0
    set_millicores(site, "w1", 8000)
    site.run(0.2)
    assert len(site.list_running()) == 1


def test_what_is_being_stopped_still_counts():
    site = open_site()
    site.workers["w1"].stop_seconds = 1.0
    site.submit(make_job("first", make_step(count=2, request=HALF, estimate=9.0)))
    site.run(0.2)
    site.cell.cancel_job("first", now=site.now)
    site.submit(make_job("next", make_step(request=HALF)))
    site.run(0.7)
    assert len(site.list_running()) == 2
    site.run(0.8)
    assert [key.job for _, key, _ in site.list_running()] == ["next"]
    assert list_overloads(site) == []


def test_a_start_without_an_answer_is_not_repeated_on_a_worker_that_has_shrunk():
    site = open_site("w1", "w2")
    start = order_without_answer(site, request=HALF, estimate=3.0)
    name = start.attempt.worker.name
    set_millicores(site, name, 3000)
    site.run(1.0)
    assert list_overloads(site) == []
    site.run_until(lambda: site.state_of("j") == "completed", limit=6)
    assert site.workers[name].started == []


@pytest.mark.parametrize("obstacle", ["draining", "closed domain"])
def test_a_start_without_an_answer_is_not_repeated_where_nothing_may_start(obstacle):
    site = SimulatedCell(make_entry("w1"), make_entry("w2", domain=DomainId("b")))
    site.run(0.5)
    start = order_without_answer(site, estimate=1.0)
    worker = site.workers[start.attempt.worker.name]
    if obstacle == "draining":
        changes = {"state": WorkerState.DRAINING}
        worker.entry = msgspec.structs.replace(worker.entry, **changes)
        site.update_workers()
    else:
        site.cell.closed_domains = frozenset({worker.entry.domain})
    site.run_until(lambda: site.state_of("j") == "completed", limit=4)
    assert worker.started == []


def test_nothing_starts_beside_what_an_earlier_owner_left_until_it_is_stopped():
    site = open_site()
    site.workers["w1"].stop_seconds = 1.0
    site.submit(make_job("gone", make_step(request=Resources(8000, 100), estimate=9.0)))
    site.run(0.2)
    site.take_over([])
    site.submit(make_job("next", make_step(request=HALF)))
    site.run(0.8)
    assert [key.job for _, key, _ in site.list_running()] == ["gone"]
    site.run(1.0)
    assert [key.job for _, key, _ in site.list_running()] == ["next"]
    assert list_overloads(site) == []


@pytest.mark.parametrize("guarded", [True, False])
def test_workers_without_a_guard_get_nothing_while_the_directory_is_unreadable(guarded):
    site = open_site()
    site.cell.guarded_services = frozenset({SERVICE} if guarded else {ServiceId("x")})
    site.cell.directory_synced_at = site.now
    site.submit(make_job("first"))
    site.run(DIRECTORY_AGE_SECONDS_MAX - 0.5)
    site.submit(make_job("second"))
    site.run(0.2)
    assert site.count_starts() == 2
    site.run(1)
    site.submit(make_job("third"))
    site.run(1)
    assert (site.count_starts() == 3) is guarded
    site.cell.directory_synced_at = site.now
    site.run(0.2)
    assert site.count_starts() == 3


def test_a_restarted_worker_gets_nothing_before_its_new_entry_is_read():
    """It may be of another kind now, with less capacity."""
    site = open_site()
    restart(site, "w1").set_millicores(2000)
    site.submit(make_job("j", make_step(request=HALF)))
    site.run(1)
    assert site.count_starts() == 0
    site.update_workers()
    site.run(1)
    assert site.count_starts() == 0


def test_a_trial_moves_if_its_reserved_worker_shrinks():
    site = open_suspect_site()
    site.run_until(lambda: find_task(site, "unlucky").trial is not None)
    name = find_task(site, "unlucky").trial.worker.name
    set_millicores(site, name, 500)
    site.run_until(lambda: site.state_of("unlucky") == "completed", limit=20)
    assert list_overloads(site) == []

"""The reported load says why processors are idle while best-effort work waits."""

from plantainhinge.core.ids import DomainId, KindId, Seconds
from plantainhinge.core.resources import Resources
from plantainhinge.dispatch.load import measure_load

from .simulated_cell import SimulatedCell, make_entry, make_job, make_step

CORES = 16


def make_site():
    site = SimulatedCell(
        make_entry("w0", cores=CORES),
        make_entry("w1", cores=CORES, domain=DomainId("b")),
    )
    site.cell.closed_domains = frozenset({DomainId("b")})
    serving = make_step(
        request=Resources(4000, 100),
        long_running=True,
        image="front",
        target_seconds=0.045,
    )
    site.submit(make_job("s", serving))
    site.workers["w0"].tail_latency = lambda worker, attempt: (
        0.01 / (1 - 0.7) if attempt.serving else 1.0
    )
    site.run(2)
    return site


def submit_filling(site):
    filling = make_step(
        count=20, request=Resources(2000, 100), image="heavy", best_effort=True
    )
    site.cell.weights.restore(KindId("front"), KindId("heavy"), 5.0, Seconds(site.now))
    site.submit(make_job("f", filling))
    site.run(1.5)


def test_idle_cores_are_told_by_cause_while_best_effort_work_waits():
    site = make_site()
    submit_filling(site)
    load = measure_load(site.cell, now=site.now)
    assert load.waiting_filling == 20
    assert load.idle_closed_cores == CORES
    assert load.idle_disturbing_cores >= 12
    assert load.idle_usable_cores <= 2


def test_no_cause_is_told_while_nothing_waits():
    load = measure_load(make_site().cell, now=2.0)
    causes = (
        load.idle_usable_cores,
        load.idle_disturbing_cores,
        load.idle_closed_cores,
    )
    assert causes == (0, 0, 0)

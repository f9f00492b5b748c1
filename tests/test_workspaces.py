"""Caps and shares of workspaces that compete for a site."""

import pytest
from hypothesis import given, settings, strategies as st

from plantainhinge.core.resources import Resources
from plantainhinge.dispatch.workspaces import CapCheck, measure_dominant_share
from plantainhinge.fleet.model import OrderOutcome, OrderResponse, WorkerState
from plantainhinge.jobs.model import fits_cap

from .simulated_cell import (
    SERVICE,
    SimulatedCell,
    make_entry,
    make_job,
    make_step,
    make_workspace,
)


def open_site(*workspaces, workers=2, **options):
    names = [f"w{index}" for index in range(workers)]
    site = SimulatedCell(*(make_entry(name) for name in names), **options)
    site.set_workspaces(*workspaces)
    site.cell.guarded_services = frozenset({SERVICE})
    site.run(0.5)
    return site


def count_cores(site, workspace):
    """Return the cores that a workspace's attempts take up, as the workers see it."""
    return sum(
        site.records[key.job].spec.steps[key.step].request.millicores / 1000
        for _, key, _ in site.list_running()
        if site.records[key.job].workspace == workspace
    )


def run_and_watch(site, seconds, workspace):
    """Run a site; return the most cores that a workspace took up."""
    most = 0.0
    for _ in range(round(seconds / 0.05)):
        site.run(0.05)
        most = max(most, count_cores(site, workspace))
    return most


def test_a_workspace_never_runs_more_than_its_cap():
    site = open_site(make_workspace("a", cores=5), make_workspace("b"))
    site.submit(make_job("ja", make_step(count=20), workspace="a"))
    site.submit(make_job("jb", make_step(count=20), workspace="b"))
    assert run_and_watch(site, 1.0, "a") == 5
    site.run_until(lambda: site.state_of("ja") == "completed")


def test_jobs_without_a_workspace_have_no_cap():
    site = open_site(make_workspace("a", cores=1))
    site.submit(make_job("j", make_step(count=10)))
    site.run(0.5)
    assert len(site.list_running()) == 10


def test_what_is_being_stopped_counts_against_the_cap():
    site = open_site(make_workspace("a", cores=4))
    for worker in site.workers.values():
        worker.stop_seconds = 1.0
    site.submit(make_job("first", make_step(count=4, estimate=9.0), workspace="a"))
    site.run(0.3)
    site.cell.cancel_job("first", now=site.now)
    site.submit(make_job("next", make_step(count=4), workspace="a"))
    assert run_and_watch(site, 3.0, "a") == 4


def test_a_start_without_an_answer_counts_against_the_cap():
    site = open_site(make_workspace("a", cores=2), workers=1)
    site.workers["w0"].answers_to_lose = 2
    site.submit(make_job("j", make_step(count=6), workspace="a"))
    assert run_and_watch(site, 3.0, "a") == 2


def test_a_speculative_attempt_counts_against_the_cap():
    site = open_site(make_workspace("a", cores=1))
    site.submit(make_job("j", make_step(speculative=True, estimate=1), workspace="a"))
    site.run(0.2)
    ((worker, _, _),) = site.list_running()
    site.workers[worker].speed = 0.05
    assert run_and_watch(site, 4.0, "a") == 1


def test_a_gang_larger_than_what_is_left_of_the_cap_waits_as_a_whole():
    site = open_site(make_workspace("a", cores=4))
    site.submit(make_job("first", make_step(count=2, estimate=2.0), workspace="a"))
    site.run(0.2)
    site.submit(make_job("gang", make_step(count=3, gang=True), workspace="a"))
    site.run(1.0)
    assert len(site.list_running()) == 2
    site.run_until(lambda: len(site.list_running()) == 3, limit=3)


def test_a_cap_that_shrinks_ends_nothing_and_starts_nothing():
    site = open_site(make_workspace("a", cores=6))
    site.submit(make_job("first", make_step(count=6, estimate=2.0), workspace="a"))
    site.run(0.2)
    site.set_workspaces(make_workspace("a", cores=2))
    site.submit(make_job("next", make_step(count=4, estimate=2.0), workspace="a"))
    site.run(1.5)
    assert [key.job for _, key, _ in site.list_running()] == ["first"] * 6
    site.run(1.0)
    assert [key.job for _, key, _ in site.list_running()] == ["next"] * 2


def take_over(site, jobs):
    """Replace the owner, on a site whose workers guard their capacity."""
    site.take_over(jobs)
    site.cell.guarded_services = frozenset({SERVICE})


def open_site_of_pairs():
    """Run two tasks of a job on two of four workers, with a cap of two cores."""
    site = open_site(make_workspace("a", cores=2), workers=4)
    step = make_step(count=2, estimate=20.0)
    first = make_job("first", step, workspace="a")
    site.submit(first)
    site.run(1.0)
    return site, first, [site.workers[name] for name, _, _ in site.list_running()]


@pytest.mark.parametrize("named", [False, True], ids=["unnamed", "in handover"])
def test_a_new_owner_counts_what_may_run_on_silent_workers(named):
    site, first, busy = open_site_of_pairs()
    for worker in busy:
        worker.unreachable = True
    if named:
        site.run(1.0)
    take_over(site, [first])
    site.submit(make_job("next", make_step(count=2, estimate=20.0), workspace="a"))
    assert run_and_watch(site, 5.0, "a") == 2


def test_a_new_owner_counts_attempts_of_ended_jobs_that_are_not_gone_yet():
    site, _, busy = open_site_of_pairs()
    for worker in busy:
        worker.stop_seconds = 1.0
    site.cell.cancel_job("first", now=site.now)
    site.run(0.2)
    take_over(site, [])
    site.run(0.1)
    site.submit(make_job("next", make_step(count=2, estimate=20.0), workspace="a"))
    assert run_and_watch(site, 2.0, "a") == 2


OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just("submit"), st.integers(1, 6), st.booleans()),
        st.tuples(st.just("cancel"), st.integers(0, 5)),
        st.tuples(st.just("lose_answers"), st.integers(0, 2)),
        st.tuples(st.just("silence"), st.integers(0, 2)),
        st.tuples(st.just("drain"), st.integers(0, 2)),
        st.tuples(st.just("take_over")),
        st.tuples(st.just("set_cap"), st.integers(1, 8)),
        st.tuples(st.just("run"), st.integers(1, 20)),
    ),
    max_size=14,
)


class CappedSite:
    """A site with one capped workspace on which anything may happen."""

    def __init__(self):
        self.site = open_site(make_workspace("a", cores=4), workers=3)
        self.cap = 4
        self.jobs = []

    def submit(self, count, speculative):
        step = make_step(count=count, speculative=speculative, estimate=0.7)
        self.jobs.append(make_job(f"j{len(self.jobs)}", step, workspace="a"))
        self.site.submit(self.jobs[-1])

    def cancel(self, index):
        for job in self.jobs[index : index + 1]:
            self.site.cell.cancel_job(job.job, now=self.site.now)

    def lose_answers(self, index):
        self.site.workers[f"w{index}"].answers_to_lose = 2

    def silence(self, index):
        worker = self.site.workers[f"w{index}"]
        worker.unreachable = not worker.unreachable

    def drain(self, index):
        worker = self.site.workers[f"w{index}"]
        worker.entry = make_entry(f"w{index}", state=WorkerState.DRAINING)
        self.site.update_workers()

    def take_over(self):
        final = {"completed", "failed", "cancelled"}
        state_of = self.site.state_of
        take_over(self.site, [j for j in self.jobs if state_of(j.job) not in final])

    def set_cap(self, cores):
        self.cap = cores
        self.site.set_workspaces(make_workspace("a", cores=cores))

    def run(self, steps):
        self.site.run(0.05 * steps)


@settings(max_examples=60, deadline=None)
@given(OPERATIONS)
def test_the_cap_holds_whatever_happens(operations):
    capped = CappedSite()
    for operation in operations:
        before = count_cores(capped.site, "a")
        name, *values = operation
        getattr(capped, name)(*values)
        # a smaller cap ends nothing, so what ran before it may go on
        assert count_cores(capped.site, "a") <= max(capped.cap, before)


def test_workspaces_share_a_full_site_by_weight():
    site = open_site(make_workspace("a", weight=3.0), make_workspace("b"), workers=4)
    for index in range(40):
        for name in ("a", "b"):
            step = make_step(count=4, estimate=1.0)
            site.submit(make_job(f"{name}{index}", step, workspace=name))
    cores = {"a": 0.0, "b": 0.0}
    site.run(1.0)
    for _ in range(80):
        site.run(0.05)
        for name in cores:
            cores[name] += count_cores(site, name)
    assert 2.3 < cores["a"] / cores["b"] < 3.7


def test_shares_have_no_effect_while_there_is_capacity():
    site = open_site(make_workspace("a"), make_workspace("b"), workers=4)
    site.submit(make_job("j", make_step(count=30), workspace="a"))
    site.run(0.3)
    assert count_cores(site, "a") == 30


def test_a_workspace_that_was_idle_gets_its_share_at_once_and_no_more():
    site = open_site(make_workspace("a"), make_workspace("b"), workers=2)
    for index in range(30):
        step = make_step(count=4, estimate=0.5)
        site.submit(make_job(f"a{index}", step, workspace="a"))
    site.run(2.0)
    for index in range(30):
        step = make_step(count=4, estimate=0.5)
        site.submit(make_job(f"b{index}", step, workspace="b"))
    site.run(1.5)
    assert 4 <= count_cores(site, "b") <= 12


def test_a_workspace_at_eight_times_its_load_hardly_delays_the_others():
    def measure_waits(hot):
        site = open_site(
            *(make_workspace(name) for name in "abcd"), workers=4, log_up=True
        )
        waits = []
        for second in range(8):
            for name in "abcd":
                jobs = 8 if name == "a" and hot else 1
                for index in range(jobs):
                    job = f"{name}{second}-{index}"
                    step = make_step(count=4, estimate=1.0)
                    record = make_job(job, step, accepted_at=site.now, workspace=name)
                    site.submit(record)
            site.run(1.0)
            waits.extend(
                f"{name}{second}-0"
                for name in "bcd"
                if site.state_of(f"{name}{second}-0") != "completed"
            )
        return len(waits)

    assert measure_waits(hot=True) <= measure_waits(hot=False) + 4


def test_jobs_of_a_workspace_that_left_the_configuration_run_on():
    site = open_site(make_workspace("a", cores=2))
    site.submit(make_job("j", make_step(count=4), workspace="gone"))
    site.run_until(lambda: site.state_of("j") == "completed", limit=10)


def test_a_job_with_a_task_or_gang_over_the_cap_never_fits():
    spec = make_job("j", make_step(count=3, gang=True)).spec
    assert fits_cap(spec, Resources(3000, 300))
    assert not fits_cap(spec, Resources(2999, 300))
    single = make_job("j", make_step(count=3)).spec
    assert fits_cap(single, Resources(1000, 100))
    assert not fits_cap(single, Resources(1000, 99))


def test_the_dominant_share_is_that_of_the_scarcest_resource():
    capacity = Resources(1000, 1000, 4)
    assert measure_dominant_share(Resources(100, 500, 1), capacity) == 0.5
    assert measure_dominant_share(Resources(0, 0, 3), capacity) == 0.75
    assert measure_dominant_share(Resources(), Resources()) == 0.0


def test_a_refused_start_gives_the_cap_back():
    site = open_site(make_workspace("a", cores=1))
    site.submit(make_job("j", make_step(count=2), workspace="a"))
    site.cell.decide(now=site.now, wall=site.now)
    (start,) = site.cell.take_commands()
    step = start.attempt.task.step
    assert not CapCheck(site.cell).allows(step)
    refused = OrderResponse(outcome=OrderOutcome.NO_CAPACITY)
    site.cell.handle_start_answer(start.attempt, refused, now=site.now)
    assert CapCheck(site.cell).allows(step)

"""Pools of workers of one placement pass: same choices as by trying every worker."""

from collections.abc import Iterator
from dataclasses import dataclass

import pytest
from hypothesis import given, settings, strategies as st

from plantainhinge.core.ids import AttemptNumber, JobId, KindId, Seconds, WorkerId
from plantainhinge.core.resources import Resources
from plantainhinge.dispatch import worker_pool
from plantainhinge.dispatch.bindings import (
    bind_attempt,
    close_trial,
    set_speed,
    unbind_attempt,
)
from plantainhinge.dispatch.health import record_success
from plantainhinge.dispatch.incarnations import _set_entry
from plantainhinge.dispatch.model import (
    Attempt,
    AttemptPhase,
    OpenStep,
    Task,
    Ticket,
    Trial as ReservedTrial,
    Worker,
)
from plantainhinge.dispatch.open_jobs import open_job
from plantainhinge.dispatch.weights import ImageWeights
from plantainhinge.dispatch.worker_choice import choose_worker, rank_workers
from plantainhinge.dispatch.worker_pool import SEARCH_SECONDS, WorkerPool
from plantainhinge.jobs.model import JobRecord, Step

from .simulated_cell import make_entry, make_job, make_policy, make_step

NOW = 100.0
SERVING = make_step(
    request=Resources(2000, 100), target_seconds=0.05, image="front", long_running=True
)
# learned: "light" hardly interferes, "heavy" is kept off by higher pressures
WEIGHTS = {"light": 0.01, "heavy": 2.0}


@dataclass(frozen=True)
class Arrival:
    """A step as it arrives in a pass, and what is known of its tasks."""

    spec: Step
    unplaced_since: float = float("inf")
    avoided: frozenset[str] = frozenset()
    tickets: frozenset[str] | None = None
    on_trial: bool = False


class Trial:
    """Workers, and the steps that a pass tries to place on them one by one."""

    def __init__(self, loads: list[tuple[int, float, float, str]]) -> None:
        self.weights = ImageWeights()
        for image, weight in WEIGHTS.items():
            key = KindId("front"), KindId(image)
            self.weights.restore(*key, weight, Seconds(NOW))
        self.workers = [
            self._make_worker(f"w{number}", *load) for number, load in enumerate(loads)
        ]

    def _make_worker(
        self, name: str, cores: int, gauge: float, pressure: float, label: str
    ) -> Worker:
        """Return a worker whose pressure was measured before its newest report."""
        entry = make_entry(name, cores=cores, labels=(label,))
        worker = Worker(entry, entry.incarnation)
        if gauge:
            attempt = self.bind(open_step(f"{name}-front", SERVING).tasks[0], worker)
            attempt.phase, attempt.gauge = AttemptPhase.RUNNING, gauge
            worker.pressures = {"front": pressure}
        return worker

    def bind(self, task: Task, worker: Worker) -> Attempt:
        number = AttemptNumber(task.last_attempt + 1)
        attempt = Attempt(task, number, worker, AttemptPhase.ORDERED, NOW)
        bind_attempt(attempt)
        return attempt

    def place(self, arrivals, choose, note_change) -> Iterator[str | None]:
        """Place the tasks of steps until one finds no worker; yield the workers."""
        for number, arrival in enumerate(arrivals):
            step = open_arrival(f"j{number}", arrival)
            for task in step.tasks:
                task.avoided_workers = set(map(WorkerId, arrival.avoided))
                worker = choose(task)
                yield worker and worker.name
                if worker is None:
                    break
                attempt = self.bind(task, worker)
                if arrival.on_trial:
                    unbind_attempt(attempt)
                note_change(worker)


def open_step(name: str, spec: Step, *, advised: bool = False) -> OpenStep:
    record: JobRecord = make_job(name, spec, policy=make_policy(advised=advised))
    assert record.job == JobId(name)
    return open_job(record, None, wall=Seconds(0.0)).occurrences[0][0]


def open_arrival(name: str, arrival: Arrival) -> OpenStep:
    step = open_step(name, arrival.spec, advised=arrival.tickets is not None)
    step.unplaced_since = arrival.unplaced_since
    for worker in arrival.tickets or ():
        step.tickets[WorkerId(worker)] = Ticket("ticket", NOW + 1.0, incarnation=1)
    return step


def place_by_trying_all(loads, arrivals):
    trial = Trial(loads)

    def choose(task):
        return choose_worker(task, trial.workers, trial.weights, now=NOW)

    chosen = list(trial.place(arrivals, choose, lambda worker: None))
    return chosen, [worker.pressures for worker in trial.workers]


def place_from_pool(loads, arrivals):
    trial = Trial(loads)
    pool = WorkerPool()
    pool.refresh(trial.workers, trial.weights, now=NOW)
    chosen = list(trial.place(arrivals, pool.choose, pool.note_change))
    return chosen, [worker.pressures for worker in trial.workers]


loads = st.lists(
    st.tuples(
        st.sampled_from([8, 16]),
        st.sampled_from([0.0, 0.02, 0.035]),
        st.sampled_from([0.3, 0.9]),
        st.sampled_from(["ssd", "disk"]),
    ),
    min_size=2,
    max_size=4,
)
specs = st.builds(
    make_step,
    request=st.builds(
        Resources, st.sampled_from([2000, 3000]), st.sampled_from([100, 20_000])
    ),
    count=st.integers(1, 3),
    best_effort=st.booleans(),
    image=st.sampled_from(["light", "heavy"]),
    label=st.sampled_from(["", "", "ssd"]),
    long_running=st.sampled_from([False, False, True]),
    per_worker_max=st.sampled_from([0, 0, 1]),
)
arrivals = st.lists(
    st.builds(
        Arrival,
        spec=specs,
        unplaced_since=st.sampled_from([0.0, float("inf")]),
        avoided=st.sampled_from([frozenset()] * 4 + [frozenset({"w0", "w1"})]),
        tickets=st.sampled_from([None] * 4 + [frozenset({"w0"})]),
        on_trial=st.sampled_from([False] * 3 + [True]),
    ),
    min_size=12,
    max_size=24,
)


@settings(max_examples=300)
@given(loads, arrivals)
def test_a_pool_chooses_like_trying_every_worker(loads, arrivals):
    assert place_from_pool(loads, arrivals) == place_by_trying_all(loads, arrivals)


def test_best_effort_work_finds_a_worker_whose_pressure_was_measured_again():
    best_effort = make_step(request=Resources(1000, 100), best_effort=True)
    arrivals = [
        Arrival(best_effort),
        Arrival(make_step(request=Resources(1000, 100))),
        Arrival(best_effort),
    ]
    loads = [(16, 0.015, 0.9, "disk")]
    chosen, _ = place_from_pool(loads, arrivals)
    assert chosen == [None, "w0", "w0"]


def test_equal_workers_that_changed_are_chosen_in_their_order():
    best_effort = make_step(request=Resources(1000, 100), best_effort=True)
    ordinary = make_step(request=Resources(1000, 100), count=2)
    arrivals = [Arrival(best_effort), Arrival(ordinary), Arrival(best_effort)]
    chosen, _ = place_from_pool([(16, 0.015, 0.9, "disk")] * 2, arrivals)
    assert chosen == [None, "w0", "w1", "w0"]


def test_short_lived_work_is_tried_where_long_running_work_must_leave_headroom():
    request = Resources(10_000, 100)
    arrivals = [
        Arrival(make_step(request=request, long_running=True)),
        Arrival(make_step(request=request)),
    ]
    chosen, _ = place_from_pool([(10, 0.0, 0.0, "disk")], arrivals)
    assert chosen == [None, "w0"]


def test_a_request_like_one_that_found_no_worker_tries_none(monkeypatch):
    tried = []

    def record_workers(task, workers, weights, *, now):
        tried.append([worker.name for worker in workers])
        return rank_workers(task, workers, weights, now=now)

    monkeypatch.setattr(worker_pool, "rank_workers", record_workers)
    large, larger = (make_step(request=Resources(cores, 100)) for cores in (5e3, 6e3))
    place_from_pool([(4, 0.0, 0.0, "disk")], [Arrival(large), Arrival(larger)])
    assert tried == [["w0"]]


class Rounds:
    """Rounds of decisions on the same pool, with changes of workers between them."""

    def __init__(self, loads):
        self.trial = Trial(loads)
        self.pool = WorkerPool()
        self.bound = []
        self.available = list(self.trial.workers)

    def bind(self, worker, spec):
        step = open_step(f"b{len(self.bound)}", spec)
        if spec.request.fits_within(worker.free):
            self.bound.append(self.trial.bind(step.tasks[0], worker))

    def unbind(self, worker, spec):
        for attempt in [each for each in self.bound if each.worker is worker][:1]:
            self.bound.remove(attempt)
            unbind_attempt(attempt)

    def slow_down(self, worker, spec):
        for attempt in self.bound:
            if attempt.worker is worker and attempt.task.step.spec.best_effort:
                set_speed(attempt, 20)

    def report(self, worker, spec):
        for attempt in worker.attempts.values():
            attempt.gauge = spec.request.millicores * 1e-5
        worker.mark_changed()

    def resize(self, worker, spec):
        entry = make_entry(worker.name, cores=spec.request.millicores // 200)
        _set_entry(worker, entry, now=NOW)

    def keep_for_trial(self, worker, spec):
        task = open_step("trial", spec).tasks[0]
        task.trial = worker.trial = worker.trial or ReservedTrial(task, worker, NOW)

    def end_trial(self, worker, spec):
        if worker.trial is not None:
            close_trial(worker.trial)

    def probe(self, worker, spec):
        attempts = list(worker.attempts.values())
        worker.probe = attempts[0] if attempts else None

    def end_probe(self, worker, spec):
        record_success(worker)

    def leave(self, worker, spec):
        if worker in self.available:
            self.available.remove(worker)

    def come_back(self, worker, spec):
        if worker not in self.available:
            self.available.append(worker)

    def check_round(self, arrivals):
        """Choose from the pool and from all workers; both must agree."""
        workers = [each for each in self.trial.workers if each in self.available]
        self.pool.refresh(workers, self.trial.weights, now=NOW)
        for number, arrival in enumerate(arrivals):
            task = open_arrival(f"j{number}", arrival).tasks[0]
            task.avoided_workers = set(map(WorkerId, arrival.avoided))
            expected = choose_worker(task, workers, self.trial.weights, now=NOW)
            assert self.pool.choose(task) is expected


CHANGES = sorted(
    name
    for name, method in vars(Rounds).items()
    if not name.startswith("_") and name != "check_round" and callable(method)
)


@settings(max_examples=200, deadline=None)
@given(
    loads,
    st.lists(
        st.tuples(st.sampled_from(CHANGES), st.integers(0, 3), specs), max_size=30
    ),
    st.lists(st.builds(Arrival, spec=specs), min_size=1, max_size=6),
)
def test_a_pool_that_is_kept_between_rounds_chooses_like_trying_every_worker(
    loads, changes, arrivals
):
    rounds = Rounds(loads)
    rounds.check_round(arrivals)
    for name, index, spec in changes:
        worker = rounds.trial.workers[index % len(rounds.trial.workers)]
        getattr(rounds, name)(worker, spec)
        rounds.check_round(arrivals)


SMALL = make_step(request=Resources(5000, 100))
LARGE = make_step(request=Resources(6000, 100))
FILLING = make_step(request=Resources(6000, 100), best_effort=True, image="light")
TINY = make_step(request=Resources(2000, 100))


@pytest.mark.parametrize(
    ("load", "before", "change", "request_"),
    [
        ((8, 0.0, 0.0, "disk"), [("bind", SMALL)], ("unbind", SMALL), LARGE),
        ((8, 0.0, 0.0, "disk"), [("bind", FILLING)], ("slow_down", SMALL), FILLING),
        ((16, 0.035, 0.9, "disk"), [], ("report", TINY), FILLING),
        ((8, 0.0, 0.0, "disk"), [("bind", SMALL)], ("resize", SMALL), LARGE),
        (
            (8, 0.0, 0.0, "disk"),
            [("keep_for_trial", SMALL)],
            ("end_trial", SMALL),
            LARGE,
        ),
        (
            (16, 0.0, 0.0, "disk"),
            [("bind", SMALL), ("probe", SMALL)],
            ("end_probe", SMALL),
            LARGE,
        ),
        ((8, 0.0, 0.0, "disk"), [("leave", SMALL)], ("come_back", SMALL), LARGE),
    ],
    ids=lambda value: value[0] if isinstance(value, tuple) and len(value) == 2 else "",
)
def test_a_step_that_found_no_worker_is_tried_on_one_that_changed(
    load, before, change, request_
):
    rounds = Rounds([load])
    worker = rounds.trial.workers[0]
    for name, spec in before:
        getattr(rounds, name)(worker, spec)
    arrivals = [Arrival(request_)]
    rounds.check_round(arrivals)
    assert rounds.pool.choose(open_step("k", request_).tasks[0]) is None
    name, spec = change
    getattr(rounds, name)(worker, spec)
    rounds.check_round(arrivals)
    assert rounds.pool.choose(open_step("l", request_).tasks[0]) is worker


@pytest.mark.parametrize("missed", [True, False])
def test_a_change_that_a_pool_missed_is_found_and_logged(missed, caplog):
    large = make_step(request=Resources(9000, 100))
    task = open_step("j", large).tasks[0]
    rounds = Rounds([(8, 0.0, 0.0, "disk")] * 2)
    rounds.check_round([Arrival(large)])
    worker = rounds.trial.workers[0]
    worker.entry = make_entry("w0", cores=16)
    worker.revision += not missed
    pool, weights = rounds.pool, rounds.trial.weights
    pool.refresh(rounds.trial.workers, weights, now=NOW + 0.1)
    assert pool.choose(task) is (None if missed else worker)
    pool.refresh(rounds.trial.workers, weights, now=NOW + SEARCH_SECONDS)
    assert pool.choose(task) is worker
    assert [record.message for record in caplog.records] == (
        ["change of a worker missed"] if missed else []
    )

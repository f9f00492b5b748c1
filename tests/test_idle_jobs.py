"""No job has nothing running for long once faults are over and there is room for it."""

from dataclasses import dataclass

from hypothesis import HealthCheck, given, settings, strategies as st

from plantainhinge.core.resources import Resources
from plantainhinge.dispatch.trials import needs_trial
from plantainhinge.fleet.model import OrderOutcome, OrderResponse

from .simulated_cell import (
    CALM_SECONDS,
    IDLE_SECONDS_MAX,
    STEP_SECONDS,
    make_entry,
    make_job,
    make_policy,
    make_step,
)
from .simulated_crashes import CrashingCell

LABELS = ("kind-a", "kind-b")
WATCH_SECONDS = 12.0
# trials of 2.3 s that fit into the time one after the other on a worker
TRIALS_IN_TIME = 3
PATIENT = make_policy(attempts=50)


@dataclass(frozen=True)
class Fault:
    """What a worker does wrong for some seconds."""

    worker: int
    how: str
    seconds: float


STEPS = {
    "short": {"estimate": 0.3},
    "long": {"estimate": 200.0},
    "lasting": {"long_running": True},
    "gang": {"count": 3, "gang": True, "estimate": 60.0},
    "wide": {"count": 6, "estimate": 20.0},
    "filling": {"best_effort": True, "estimate": 60.0},
    "filling beyond": {
        "best_effort": True,
        "estimate": 60.0,
        "request": Resources(40_000, 100),
    },
    "nearly whole": {"long_running": True, "request": Resources(15_000, 100)},
}
faults = st.builds(
    Fault,
    worker=st.integers(0, 3),
    how=st.sampled_from(["fail", "fail at the end", "crash", "silent", "refuse"]),
    seconds=st.sampled_from([0.5, 2.0, 6.5]),
)
jobs = st.tuples(st.sampled_from(sorted(STEPS)), st.sampled_from(["", *LABELS]))
fleets = st.lists(st.sampled_from(LABELS), min_size=1, max_size=4)


def open_site(fleet):
    entries = [
        make_entry(f"w{index}", cores=16, labels=(label,))
        for index, label in enumerate(fleet)
    ]
    site = CrashingCell(*entries, keeps_id=True)
    site.run(0.2)
    return site


def play_fault(site, fault):
    """Let one fault begin and end."""
    names = sorted(site.workers)
    name = names[fault.worker % len(names)]
    worker = site.workers[name]
    if fault.how == "crash":
        site.crash(name)
    elif fault.how == "silent":
        worker.unreachable = True
    elif fault.how == "refuse":
        refusal = OrderResponse(outcome=OrderOutcome.REFUSED)
        worker.start = lambda order, step: refusal
    worker.fails_at_once = fault.how == "fail"
    worker.fails = fault.how == "fail at the end"
    site.run(fault.seconds)
    if fault.how == "crash":
        site.run(site.down_seconds)
        return
    worker.unreachable = worker.fails_at_once = worker.fails = False
    worker.__dict__.pop("start", None)


def has_room(site, record):
    """Return whether each task of a job's step fits twice by its needs alone."""
    (step,) = record.spec.steps
    millicores = 0 if step.best_effort else step.request.millicores
    room = used = total = 0
    for worker in site.workers.values():
        free = worker.entry.capacity.millicores - worker.count_millicores()
        total += worker.entry.capacity.millicores
        used += worker.count_millicores()
        if not step.label or step.label in worker.entry.labels:
            room += 100 if millicores == 0 else free // millicores
    return room >= 2 * step.count and used < total / 2


def is_in_line_for_trial(site, record):
    """Return whether more suspects wait for trials than can be tried in time.

    See ``test_more_suspects_than_trials_in_time_start_again``.
    """
    tasks = [task for job in site.cell.jobs.values() for task in job.list_tasks()]
    suspects = sum(needs_trial(task) for task in tasks)
    (step,) = record.spec.steps
    own = any(needs_trial(task) for task in site.cell.jobs[record.job].list_tasks())
    workers = sum(
        not step.label or step.label in worker.entry.labels
        for worker in site.workers.values()
    )
    return own and suspects > TRIALS_IN_TIME * workers


def may_start(site, record):
    """Return whether nothing but its needs may keep a job's tasks from starting."""
    is_open = record.job in site.cell.jobs
    return is_open and has_room(site, record) and not is_in_line_for_trial(site, record)


def measure_idle(site, records, seconds):
    """Return the longest time for which each job had nothing running although it could.

    A job that has ended waits for nothing.
    """
    longest, since = {}, {}
    until = site.now + seconds
    while site.now < until:
        site.run(STEP_SECONDS)
        running = {key.job for _, key, _ in site.list_running()}
        for record in records:
            name = record.job
            if name in running or not may_start(site, record):
                since.pop(name, None)
            else:
                idle = site.now - since.setdefault(name, site.now)
                longest[name] = max(longest.get(name, 0.0), idle)
    return longest


@settings(max_examples=150, suppress_health_check=[HealthCheck.too_slow])
@given(fleets, st.lists(jobs, min_size=1, max_size=4), st.lists(faults, max_size=4))
def test_no_job_idles_beside_room_once_faults_are_over(fleet, early, sequence):
    # the class of review/7, 8 and 9: a rule kept work off its only worker for good
    site = open_site(fleet)
    records = []
    for number, (kind, label) in enumerate(early):
        step = make_step(label=label, **STEPS[kind])
        records.append(make_job(f"{kind}-{number}", step, policy=PATIENT))
        site.submit(records[-1])
    for fault in sequence:
        site.run(1)
        play_fault(site, fault)
    site.run(CALM_SECONDS)
    for label in LABELS:
        records.append(make_job(f"new-{label}", make_step(label=label, estimate=0.3)))
        site.submit(records[-1])
    idle = measure_idle(site, records, WATCH_SECONDS)
    assert max(idle.values(), default=0.0) <= IDLE_SECONDS_MAX, idle

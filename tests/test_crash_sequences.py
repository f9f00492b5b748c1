"""Random sequences of crashes, cuts, lost owners and deadly tasks."""

from collections import Counter

from hypothesis import given, settings, strategies as st

from plantainhinge.core.ids import JobId
from plantainhinge.jobs.model import TaskKey

from .simulated_cell import make_job, make_step
from .simulated_crashes import open_crashing_site
from .test_deadly_tasks import STARTS_MAX
from .test_handovers import RunChecks

WORKERS = 8
STEPS = [
    make_step(estimate=4.0, speculative=True),
    make_step(estimate=4.0),
    make_step(estimate=6.0, checkpoints=True, best_effort=True),
    make_step(count=3, gang=True, estimate=4.0),
    make_step(long_running=True),
]


class CrashSequence:
    """A site to which random events happen.

    Parameters
    ----------
    owners_lost_unlogged : int
        Owners that were lost while the log was down: what they knew is lost with them.
    """

    def __init__(self, *, keeps_id, delay):
        self.site = open_crashing_site(WORKERS, keeps_id=keeps_id, delay=delay)
        self.speculative = set()
        self.checks = RunChecks(self.site, self.speculative)
        self.jobs = []
        self.cut = set()
        self.owners_lost_unlogged = 0
        self.site.run(0.5)

    def apply(self, event, number):
        """Let an event happen; ``number`` chooses the worker or the kind of job."""
        EVENTS[event](self, number)

    def crash(self, number):
        for name in self._list_live()[number:][:1]:
            self.site.crash(name)

    def crash_half(self, number):
        live = self._list_live()
        for name in live[: len(live) // 2]:
            self.site.crash(name)

    def cut_off(self, number):
        for name in self._list_live()[number:][:1]:
            self.cut.add(name)
            self.site.workers[name].unreachable = True

    def heal(self, number=0):
        for name in self.cut:
            self.site.workers[name].unreachable = False
        self.cut.clear()

    def take_over(self, number):
        self.owners_lost_unlogged += not self.site.log_up
        self.site.take_over(self._list_open())

    def toggle_log(self, number):
        self.site.log_up = not self.site.log_up

    def submit(self, number, prefix="n"):
        record = make_job(f"{prefix}{len(self.jobs)}", STEPS[number % len(STEPS)])
        self.jobs.append(record)
        if record.spec.steps[0].speculative:
            self.speculative.add(record.job)
        self.site.submit(record)

    def submit_deadly(self, number):
        key = TaskKey(JobId(f"d{len(self.jobs)}"), 0, 0, 0)
        self.site.deadly.add(key)
        self.submit(number, prefix="d")

    def run(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.site.run(0.1)
            self.checks.check()
        crashes = self.count_crashes()
        for job in self.site.cell.jobs.values():
            for task in job.list_tasks():
                counted = sum(loss.confirmed for loss in task.losses)
                assert counted <= crashes[task.key]

    def settle(self):
        self.site.log_up = True
        self.heal()
        self.run(150.0)

    def _list_live(self):
        workers = self.site.workers.items()
        return [name for name, worker in workers if not worker.unreachable]

    def _list_open(self):
        ended = ("failed", "completed")
        return [each for each in self.jobs if self.site.state_of(each.job) not in ended]

    def count_crashes(self):
        """Return under how many crashed workers each task ran."""
        return Counter(task for _, _, lost in self.site.crashes for task, _ in lost)


EVENTS = {
    "crash": CrashSequence.crash,
    "crash half": CrashSequence.crash_half,
    "cut": CrashSequence.cut_off,
    "heal": CrashSequence.heal,
    "take over": CrashSequence.take_over,
    "log": CrashSequence.toggle_log,
    "submit": CrashSequence.submit,
    "submit deadly": CrashSequence.submit_deadly,
}


@settings(max_examples=60, deadline=None)
@given(
    st.booleans(),
    st.sampled_from([0.0, 0.5, 2.5]),
    st.lists(
        st.tuples(
            st.sampled_from(sorted(EVENTS)),
            st.integers(0, WORKERS - 1),
            st.sampled_from([0.0, 0.1, 0.4, 1.5, 4.0, 7.0]),
        ),
        max_size=16,
    ),
)
def test_only_deadly_tasks_are_given_up_and_they_after_few_starts(
    keeps_id, delay, events
):
    sequence = CrashSequence(keeps_id=keeps_id, delay=delay)
    sequence.apply("submit", 0)
    for event, worker, seconds in events:
        sequence.apply(event, worker)
        sequence.run(seconds)
    sequence.settle()
    site, crashes = sequence.site, sequence.count_crashes()
    starts = Counter(task for task, _ in site.starts)
    for job in sequence.jobs:
        keys = [TaskKey(job.job, 0, 0, n) for n in range(job.spec.steps[0].count)]
        state = site.state_of(job.job)
        if keys[0] in site.deadly:
            assert state == "failed"
            assert starts[keys[0]] <= STARTS_MAX + 2 * sequence.owners_lost_unlogged
        elif max(crashes[key] for key in keys) < 3:
            is_served = state == (
                "running" if job.spec.steps[0].long_running else "completed"
            )
            assert is_served

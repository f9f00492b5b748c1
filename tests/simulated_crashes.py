"""Simulated workers that crash, and tasks that crash each worker that starts them."""

import itertools

import msgspec

from plantainhinge.dispatch.orders import Start
from plantainhinge.fleet.model import EndCause, OrderOutcome, OrderResponse

from .simulated_cell import SimulatedCell, SimulatedWorker, make_entry

DOWN_SECONDS = 3.3
# how long the directory still lists a worker that is away
LISTED_SECONDS = 3.0


class CrashingCell(SimulatedCell):
    """A site whose workers crash and come back some seconds later.

    Parameters
    ----------
    deadly : iterable of TaskKey
        Tasks that crash their worker ``delay`` seconds after each start.
    keeps_id : bool
        Whether a worker comes back under its id, or under another at its address.
    loses_answer : bool
        Whether a crash swallows the answer to the start that caused it.
    down_seconds : float
        How long a crashed worker is away; infinite if it never comes back.

    Attributes
    ----------
    starts : list
        Task and attempt of each start, on all workers.
    crashes : list of tuple
        Time and worker of each crash, and the attempts that were lost by it.
    """

    def __init__(
        self,
        *entries,
        deadly=(),
        keeps_id=False,
        loses_answer=False,
        delay=0.0,
        down_seconds=DOWN_SECONDS,
        **options,
    ):
        self.deadly = set(deadly)
        self.keeps_id = keeps_id
        self.loses_answer = loses_answer
        self.delay = delay
        self.down_seconds = down_seconds
        self.starts = []
        self.crashes = []
        self._away = {}
        self._replaced = set()
        self._names = (f"new-{number}" for number in itertools.count())
        super().__init__(*entries, **options)

    def crash(self, name):
        """Let a worker lose all that it runs; gangs of which it ran a member break."""
        worker = self.workers[name]
        lost = list(worker.attempts)
        self.crashes.append((self.now, name, lost))
        self._away[name] = self.now
        worker.attempts.clear()
        worker.ended.clear()
        worker.unreachable = True
        for task, attempt in lost:
            if self._is_gang(task):
                self._break_gang(task, attempt)

    def _is_gang(self, task):
        job = self.cell.jobs.get(task.job)
        return job is not None and job.record.spec.steps[task.step].gang

    def _break_gang(self, task, attempt):
        for worker in self.workers.values():
            for key in list(worker.attempts):
                if key[0][:3] == task[:3] and key[1] == attempt:
                    worker._end(key, EndCause.BROKEN)

    def count_task_starts(self, task):
        return sum(started == task for started, _ in self.starts)

    def list_lost(self):
        """Return the lost attempts of tasks that crash no worker."""
        return [
            (task, attempt)
            for _, _, lost in self.crashes
            for task, attempt in lost
            if task not in self.deadly
        ]

    def update_workers(self, *, inherited=False):
        entries = [
            worker.entry
            for name, worker in self.workers.items()
            if name not in self._replaced
            and self.now - self._away.get(name, self.now) < LISTED_SECONDS
        ]
        self.cell.update_workers(entries, now=self.now, inherited=inherited)

    def _step(self):
        super()._step()
        for name, worker in list(self.workers.items()):
            if any(self._is_fatal(*item) for item in worker.attempts.items()):
                self.crash(name)
        for name, since in list(self._away.items()):
            if self.now >= since + self.down_seconds:
                self._bring_back(name)
        self.update_workers()

    def _renew(self, row):
        if row.name not in self._replaced:
            super()._renew(row)
            return
        answer = OrderResponse(outcome=OrderOutcome.OTHER_INCARNATION)
        self.cell.handle_failed_renewal(row, answer, now=self.now)

    def _is_fatal(self, key, attempt):
        return key[0] in self.deadly and self.now >= attempt.started + self.delay

    def _bring_back(self, name):
        del self._away[name]
        entry = self.workers[name].entry
        changes = {"incarnation": entry.incarnation + 1}
        if not self.keeps_id:
            changes["worker"] = next(self._names)
            self._replaced.add(name)
        entry = msgspec.structs.replace(entry, **changes)
        self.workers[entry.worker] = SimulatedWorker(entry, now=self.now)

    def _deliver(self, command):
        if not isinstance(command, Start):
            super()._deliver(command)
            return
        attempt, order = command.attempt, command.order
        worker = self.workers[attempt.worker.name]
        known = len(worker.started)
        answer = worker.start(order, attempt.task.step.spec)
        self.starts.extend(worker.started[known:])
        if self.loses_answer and order.task in self.deadly and worker.attempts:
            self.crash(attempt.worker.name)
            answer = OrderResponse(outcome=OrderOutcome.UNKNOWN)
        self.cell.handle_start_answer(attempt, answer, now=self.now)


def open_crashing_site(workers=6, *, cores=8, **options):
    """Return a site of equal workers on which tasks may be deadly."""
    entries = [make_entry(f"w{index}", cores=cores) for index in range(workers)]
    return CrashingCell(*entries, **options)

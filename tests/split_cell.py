"""Two owners of one cell while its failure domains can't reach each other."""

from plantainhinge.core.ids import Epoch
from plantainhinge.dispatch.cell import Cell

from .simulated_cell import STEP_SECONDS, SimulatedCell, make_entry

WORKERS = ("w0", "w1", "w2")


class SplitCell:
    """An owner that is cut off from the log and some workers, and its successor.

    Parameters
    ----------
    reached : frozenset of str
        Workers that the cut owner still reaches.
    successor_reached : frozenset of str
        Workers that its successor reaches before the cut ends.
    takeover_seconds : float
        Time from the cut to the takeover.
    """

    def __init__(self, *, reached, successor_reached, takeover_seconds=1.0):
        entries = [make_entry(name) for name in WORKERS]
        self.owner = SimulatedCell(*entries)
        self.successor = None
        self.reached = reached
        self.successor_reached = successor_reached
        self.takeover_seconds = takeover_seconds
        self.now = 0.0
        self.jobs = []
        self.overlaps = {}

    def submit(self, job):
        self.jobs.append(job)
        self.owner.submit(job)

    def run(self, seconds, *, missed=frozenset()):
        """Run without a cut; the owner doesn't reach the ``missed`` workers."""
        end = self.now + seconds
        while self.now < end:
            self._step(frozenset(WORKERS) - missed, frozenset(WORKERS))

    def cut(self, seconds):
        cut_at = self.now
        self.owner.log_up = False
        while self.now < cut_at + seconds:
            if self.successor is None and self.now >= cut_at + self.takeover_seconds:
                self._take_over()
            self._step(self.reached, self.successor_reached, is_cut=True)
        self.owner.log_up = True

    def list_repeats(self):
        """Return the tasks that were started after an acknowledged end as done."""
        workers = self.owner.workers.values()
        done_at = {
            task: at for worker in workers for task, at in worker.done_times.items()
        }
        return [
            task
            for worker in workers
            for (task, _), at in zip(worker.started, worker.start_times, strict=True)
            if at > done_at.get(task, float("inf"))
        ]

    def count_done(self):
        state_of = (self.successor or self.owner).state_of
        return sum(state_of(job.job) == "completed" for job in self.jobs)

    def _take_over(self):
        owner = self.owner
        self.successor = successor = SimulatedCell()
        successor.workers, successor.log = owner.workers, owner.log
        successor.handover, successor.now = owner.handover, owner.now
        successor.records.update(owner.records)
        find_record = successor.records.get
        successor.cell = Cell(Epoch(1), owner.terms, owner.now, find_record=find_record)
        successor.take_over(self.jobs)

    def _step(self, reached, successor_reached, *, is_cut=False):
        self.now += STEP_SECONDS
        for worker in self.owner.workers.values():
            worker.advance(STEP_SECONDS)
        if is_cut or self.successor is None:
            self._act(self.owner, reached)
        if self.successor is not None:
            self._act(self.successor, successor_reached)
        self._note_overlaps()

    def _act(self, side, reached):
        side.now = self.now
        if side.cell.fenced:
            return
        for name, worker in side.workers.items():
            worker.unreachable = name not in reached
        side.act()

    def _note_overlaps(self):
        running = {}
        for worker, task, _ in self.owner.list_running():
            running.setdefault(task, []).append(worker)
        for task, workers in running.items():
            if len(workers) > 1:
                self.overlaps.setdefault(task, (self.now, workers))

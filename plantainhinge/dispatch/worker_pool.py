"""Choice of workers without repeating searches that found none.

In an overload most waiting steps fit on no worker, and many of them are alike. A search
that found no worker is remembered, also from one round of decisions to the next. A
later one for the same request, or a larger one, looks only at the workers that have
changed since. Each change that can let a task fit raises a worker's revision.

Best-effort tasks depend on learned weights as well, which change with the reports of
other workers. So what is remembered of them is soon forgotten. All other searches are
made again after a while too, only to find out whether a change was missed.
"""

import logging
from dataclasses import dataclass

from ..core.log_events import write_event
from ..core.resources import Resources
from .model import OpenStep, Task, Worker
from .step_events import ChangeMissed, describe_step
from .suspicion import is_suspect
from .weights import ImageWeights
from .worker_choice import choose_worker, must_leave_headroom, rank_workers

logger = logging.getLogger(__name__)

# how long a search that found no worker is remembered
BEST_EFFORT_SEARCH_SECONDS = 0.25
SEARCH_SECONDS = 2.0
# searches that are remembered of one kind
SEARCHES_MAX = 50
# score of a worker on which a task can't start
UNFIT = float("-inf")


@dataclass(frozen=True, slots=True)
class SearchKind:
    """What steps must have in common for their requests to be compared.

    Parameters
    ----------
    image : str
        Image of best-effort tasks; others fit the same whatever their image is.
    """

    best_effort: bool
    image: str
    label: str


@dataclass(frozen=True, slots=True)
class FailedSearch:
    """A search through all workers that found none.

    Parameters
    ----------
    headroom : bool
        Whether the task had to leave the headroom free.
    changes : int
        Number of changes of workers before it.
    expires_at : float
        Monotonic seconds after which it no longer counts.
    """

    request: Resources
    headroom: bool
    changes: int
    expires_at: float

    def covers(self, request: Resources, *, headroom: bool) -> bool:
        """Return whether a search for a request can't find more than this one."""
        return self.headroom <= headroom and self.request.fits_within(request)


class Ranking:
    """The workers on which the tasks of a step may start in one round, best first.

    Parameters
    ----------
    task : Task
        Any of the step's tasks; it avoids no worker.
    headroom : bool
        Whether the tasks must leave the headroom free.

    Attributes
    ----------
    changed : set of Worker
        Workers that have to be ranked again.
    """

    def __init__(
        self,
        task: Task,
        workers: list[Worker],
        weights: ImageWeights,
        headroom: bool,
        *,
        now: float,
    ) -> None:
        self.changed: set[Worker] = set()
        self._task = task
        self._headroom = headroom
        self._weights = weights
        self._now = now
        # equal workers stay in the order in which they are listed
        self._scores = dict.fromkeys(workers, UNFIT)
        self._rank(workers)

    def is_for(self, task: Task, *, headroom: bool) -> bool:
        """Return whether the ranking holds for another task that avoids no worker."""
        return (
            self._task.step is task.step
            and self._headroom is headroom
            and is_suspect(self._task) is is_suspect(task)
        )

    def find_best(self) -> Worker | None:
        """Return the best worker, or None if there is none left."""
        if self.changed:
            changed = [worker for worker in self.changed if worker in self._scores]
            self.changed.clear()
            self._scores.update(dict.fromkeys(changed, UNFIT))
            self._rank(changed)
        best = max(self._scores, key=self._scores.__getitem__)
        return best if self._scores[best] > UNFIT else None

    def _rank(self, workers: list[Worker]) -> None:
        ranked = rank_workers(self._task, workers, self._weights, now=self._now)
        self._scores.update({worker: value for value, worker in ranked})


class WorkerPool:
    """Workers of one service that accept new work, and the searches through them."""

    def __init__(self) -> None:
        self.workers: list[Worker] = []
        self._now = 0.0
        self._weights = ImageWeights()
        self._failed: dict[SearchKind, list[FailedSearch]] = {}
        self._changes = 0
        # revision of each worker when it was last looked at; the last one changed last
        self._revisions: dict[Worker, int] = {}
        self._changed_at: dict[Worker, int] = {}
        self._ranking: Ranking | None = None

    def __len__(self) -> int:
        return len(self.workers)

    def refresh(
        self, workers: list[Worker], weights: ImageWeights, *, now: float
    ) -> None:
        """Begin a round of decisions with the workers that accept new work now."""
        self._now = now
        self._weights = weights
        self._ranking = None
        if workers != self.workers:
            for gone in set(self._revisions) - set(workers):
                del self._revisions[gone]
                self._changed_at.pop(gone, None)
            self.workers = workers
        revisions = self._revisions
        for worker in workers:
            if revisions.get(worker) != worker.revision:
                self.note_change(worker)

    def choose(self, task: Task) -> Worker | None:
        """Return the best worker for one more attempt of a task, or None."""
        step = task.step
        kind = describe_kind(step)
        request = step.spec.request
        headroom = must_leave_headroom(step, now=self._now)
        failed = self._find_failed(kind, request, headroom)
        is_recent = failed is not None and self._now < failed.expires_at
        workers = self._list_changed(failed) if failed and is_recent else self.workers
        if not workers:
            return None
        worker = self._search(task, workers, headroom=headroom)
        if worker is None and not is_restricted(task):
            self._remember(kind, request, headroom, failed if is_recent else None)
        elif worker is not None and failed is not None and not is_recent:
            self._check_change(step, worker, failed)
        return worker

    def _search(
        self, task: Task, workers: list[Worker], *, headroom: bool
    ) -> Worker | None:
        """Return the best of some workers for a task.

        Most tasks of a step are equal, so they share a ranking, of which only the
        workers that were chosen have to be ranked again.
        """
        if task.avoided_workers:
            return choose_worker(task, workers, self._weights, now=self._now)
        ranking = self._ranking
        if ranking is None or not ranking.is_for(task, headroom=headroom):
            ranking = Ranking(task, workers, self._weights, headroom, now=self._now)
            self._ranking = ranking
        return ranking.find_best()

    def note_change(self, worker: Worker) -> None:
        """Note that a worker may have more capacity, or other attempts."""
        if self._ranking is not None:
            self._ranking.changed.add(worker)
        self._changes += 1
        self._revisions[worker] = worker.revision
        self._changed_at.pop(worker, None)
        self._changed_at[worker] = self._changes

    def _find_failed(
        self, kind: SearchKind, request: Resources, headroom: bool
    ) -> FailedSearch | None:
        """Return the newest search that failed for a request that is no larger."""
        return max(
            (
                search
                for search in self._failed.get(kind, ())
                if search.covers(request, headroom=headroom)
            ),
            key=lambda search: search.changes,
            default=None,
        )

    def _remember(
        self,
        kind: SearchKind,
        request: Resources,
        headroom: bool,
        earlier: FailedSearch | None,
    ) -> None:
        """Remember that no worker was found.

        If only changed workers were tried, the others haven't been since ``earlier``.
        """
        seconds = BEST_EFFORT_SEARCH_SECONDS if kind.best_effort else SEARCH_SECONDS
        expires_at = self._now + seconds if earlier is None else earlier.expires_at
        search = FailedSearch(request, headroom, self._changes, expires_at)
        others = [
            other
            for other in self._failed.get(kind, ())
            if not search.covers(other.request, headroom=other.headroom)
        ]
        self._failed[kind] = [*others[-SEARCHES_MAX + 1 :], search]

    def _check_change(
        self, step: OpenStep, worker: Worker, failed: FailedSearch
    ) -> None:
        """Log an error if a worker hasn't changed since a task didn't fit on it."""
        is_changed = self._changed_at.get(worker, 0) > failed.changes
        if not step.spec.best_effort and not is_changed:
            write_event(
                logger, ChangeMissed(about=describe_step(step), worker=worker.name)
            )

    def _list_changed(self, failed: FailedSearch) -> list[Worker]:
        """Return the workers that have changed since a search, in their order."""
        changed = []
        for worker in reversed(self._changed_at):
            if self._changed_at[worker] <= failed.changes:
                break
            changed.append(worker)
        if len(changed) > 1:
            order = set(changed)
            return [worker for worker in self.workers if worker in order]
        return changed


def describe_kind(step: OpenStep) -> SearchKind:
    """Return with which other steps a step can be compared."""
    spec = step.spec
    return SearchKind(
        spec.best_effort, spec.image if spec.best_effort else "", spec.label
    )


def is_restricted(task: Task) -> bool:
    """Return whether a task may find no worker although another one like it would."""
    return bool(
        task.avoided_workers
        or task.losses
        or task.step.spec.per_worker_max
        or task.step.job.record.policy.advised
    )

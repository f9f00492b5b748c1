"""Choice of workers within one placement pass, without repeating failed searches.

In an overload most waiting steps fit on no worker, and many of them are alike. Within a
pass workers only gain attempts, so a request that found no worker finds none later
either, and no larger one does. Best-effort tasks differ in one point: a new attempt on
a worker makes its pressures be measured again, and they may have fallen by then. So
these are tried again on the workers that have changed. The choices are those that
``choose_worker`` makes.
"""

from dataclasses import dataclass

from ..core.resources import Resources
from .model import OpenStep, Task, Worker
from .weights import ImageWeights
from .worker_choice import choose_worker, must_leave_headroom


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
    """

    request: Resources
    headroom: bool
    changes: int


class WorkerPool:
    """Workers of one service, and the searches through them, in one placement pass.

    Parameters
    ----------
    workers : list of Worker
        Workers of the service that accept new work. None of them may gain capacity
        during the pass.
    """

    def __init__(
        self, workers: list[Worker], weights: ImageWeights, *, now: float
    ) -> None:
        self.workers = workers
        self._weights = weights
        self._now = now
        self._failed: dict[SearchKind, list[FailedSearch]] = {}
        self._changed: list[Worker] = []

    def __len__(self) -> int:
        return len(self.workers)

    def choose(self, task: Task) -> Worker | None:
        """Return the best worker for one more attempt of a task, or None."""
        step = task.step
        kind = describe_kind(step)
        headroom = must_leave_headroom(step, now=self._now)
        failed = self._find_failed(kind, step.spec.request, headroom)
        workers = self.workers if failed is None else self._list_changed(kind, failed)
        worker = choose_worker(task, workers, self._weights, now=self._now)
        if worker is None and (failed is None or workers) and not is_restricted(task):
            search = FailedSearch(step.spec.request, headroom, len(self._changed))
            self._failed.setdefault(kind, []).append(search)
        return worker

    def note_change(self, worker: Worker) -> None:
        """Note that attempts were bound to a worker, even if only for a trial."""
        self._changed.append(worker)

    def _find_failed(
        self, kind: SearchKind, request: Resources, headroom: bool
    ) -> FailedSearch | None:
        """Return the newest failed search for a request that is as small or smaller."""
        for search in reversed(self._failed.get(kind, ())):
            if search.headroom <= headroom and search.request.fits_within(request):
                return search
        return None

    def _list_changed(self, kind: SearchKind, failed: FailedSearch) -> list[Worker]:
        """Return the workers on which a search may succeed after a failed one."""
        if not kind.best_effort or failed.changes == len(self._changed):
            return []
        changed = set(self._changed[failed.changes :])
        return [worker for worker in self.workers if worker in changed]


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

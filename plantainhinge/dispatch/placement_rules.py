"""The rules that keep a waiting task off a worker where it would fit.

Each is either a need, without which an attempt must not start, or a preference, which
yields to a task that has no choice. Placement checks them where they are cheapest
(``worker_choice``, ``preferences``, ``assignment``); here they stand together, to be
read and to tell which of them keeps a task waiting.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from ..core.registry import Registry
from ..fleet.model import WorkerState
from .assignment import is_capacity_known
from .model import HandoverMark, Task, Worker
from .scheduling_state import SchedulingState
from .worker_choice import (
    has_capacity,
    holds_ticket,
    is_bearable,
    meets_constraints,
)


class RuleKind(Enum):
    """Whether a rule yields to a task that has no other worker."""

    NEED = "need"
    PREFERENCE = "preference"


Check = Callable[[SchedulingState, Task, Worker, float], bool]


@dataclass(frozen=True, slots=True)
class PlacementRule:
    """A rule, which allows a task to start on a worker or not.

    Parameters
    ----------
    ends : str
        What ends it where there is no other worker.
    allows : callable
        Returns whether it allows a task on a worker, at a time in monotonic seconds.
    """

    name: str
    kind: RuleKind
    ends: str
    allows: Check


RULES: Registry[PlacementRule] = Registry("placement rule")


def placement_rule(name: str, kind: RuleKind, *, ends: str) -> Callable[[Check], Check]:
    """Return a decorator that registers a check as a rule."""

    def register(check: Check) -> Check:
        RULES.register(name)(PlacementRule(name, kind, ends, check))
        return check

    return register


def list_rules() -> Iterator[PlacementRule]:
    """Yield all rules, needs before preferences."""
    return map(RULES.find, RULES)


def find_obstacle(
    cell: SchedulingState, task: Task, worker: Worker, *, now: float
) -> str:
    """Return the name of the first rule that keeps a task off a worker, or ``none``."""
    for rule in list_rules():
        if not rule.allows(cell, task, worker, now):
            return rule.name
    return "none"


@placement_rule("unlisted", RuleKind.NEED, ends="the directory lists it")
def is_listed(cell: SchedulingState, task: Task, worker: Worker, now: float) -> bool:
    """Return whether the directory lists a worker."""
    return worker.listed


@placement_rule("entry-outdated", RuleKind.NEED, ends="its next entry, a heartbeat")
def is_entry_current(
    cell: SchedulingState, task: Task, worker: Worker, now: float
) -> bool:
    """Return whether a worker's entry is of this incarnation."""
    return worker.entry.incarnation >= worker.incarnation


@placement_rule("unreachable", RuleKind.NEED, ends="its next answer")
def is_reachable(cell: SchedulingState, task: Task, worker: Worker, now: float) -> bool:
    """Return whether a worker answers."""
    return worker.reachable


@placement_rule("draining", RuleKind.NEED, ends="nothing: it leaves")
def is_ready(cell: SchedulingState, task: Task, worker: Worker, now: float) -> bool:
    """Return whether a worker stays."""
    return worker.entry.state is WorkerState.READY


@placement_rule("not-in-handover", RuleKind.NEED, ends="the next record in the log")
def is_handed_over(
    cell: SchedulingState, task: Task, worker: Worker, now: float
) -> bool:
    """Return whether a next owner would know of an attempt on a worker."""
    return worker.handover is HandoverMark.OPEN


@placement_rule(
    "capacity-unknown",
    RuleKind.NEED,
    ends="the directory's return, for workers that don't guard their capacity",
)
def is_sure_of_capacity(
    cell: SchedulingState, task: Task, worker: Worker, now: float
) -> bool:
    """Return whether a worker surely has the capacity that seems free."""
    return is_capacity_known(cell, worker, now=now)


@placement_rule("closed-domain", RuleKind.NEED, ends="the operators open it")
def is_domain_open(
    cell: SchedulingState, task: Task, worker: Worker, now: float
) -> bool:
    """Return whether a worker's failure domain takes work."""
    return worker.entry.domain not in cell.closed_domains


@placement_rule("constrained", RuleKind.NEED, ends="nothing: the caller asks for it")
def is_within_constraints(
    cell: SchedulingState, task: Task, worker: Worker, now: float
) -> bool:
    """Return whether the label and the limit per worker allow the task."""
    return meets_constraints(task.step, worker)


@placement_rule("no-ticket", RuleKind.NEED, ends="advice, searched for without a pause")
def is_ticketed(cell: SchedulingState, task: Task, worker: Worker, now: float) -> bool:
    """Return whether the task has a ticket for a worker, or needs none."""
    return holds_ticket(task.step, worker, now=now)


@placement_rule(
    "recovering",
    RuleKind.NEED,
    ends="a report or the lease of each worker of the earlier owner",
)
def is_recovered(cell: SchedulingState, task: Task, worker: Worker, now: float) -> bool:
    """Return whether no earlier owner's attempt of the task may still run."""
    return not task.step.job.inherited or not cell.recovering


@placement_rule(
    "disturbing", RuleKind.NEED, ends="less load of the serving tasks there"
)
def is_undisturbing(
    cell: SchedulingState, task: Task, worker: Worker, now: float
) -> bool:
    """Return whether the serving tasks on a worker bear a best-effort task."""
    step = task.step
    return not step.spec.best_effort or is_bearable(step, worker, cell.weights, now=now)


@placement_rule("quarantined", RuleKind.PREFERENCE, ends="4 s at most")
def is_out_of_quarantine(
    cell: SchedulingState, task: Task, worker: Worker, now: float
) -> bool:
    """Return whether a worker hasn't just refused or failed attempts."""
    return now >= worker.quarantined_until


@placement_rule("probed", RuleKind.PREFERENCE, ends="1 s for a job without a choice")
def is_unprobed(cell: SchedulingState, task: Task, worker: Worker, now: float) -> bool:
    """Return whether no attempt shows yet whether a worker is well."""
    return worker.probe is None


@placement_rule("tried", RuleKind.PREFERENCE, ends="1 s for a job without a choice")
def is_untried(cell: SchedulingState, task: Task, worker: Worker, now: float) -> bool:
    """Return whether a worker isn't kept for another task's trial."""
    return worker.trial is None or worker.trial.task is task


@placement_rule("avoided", RuleKind.PREFERENCE, ends="1 s to 15 s, 2.5 s in light use")
def is_unavoided(cell: SchedulingState, task: Task, worker: Worker, now: float) -> bool:
    """Return whether no attempt of the task failed or stalled on a worker."""
    return worker.name not in task.avoided_workers


@placement_rule(
    "reserved",
    RuleKind.PREFERENCE,
    ends="1 s in light use; else 30 s for headroom, and"
    " idle processors for best-effort tasks",
)
def is_unreserved(
    cell: SchedulingState, task: Task, worker: Worker, now: float
) -> bool:
    """Return whether a worker has headroom or idle processors besides the needs."""
    return has_capacity(task.step, worker, now=now)

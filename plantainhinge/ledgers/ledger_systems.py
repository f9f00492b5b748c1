"""Decisions of a ledger's owner, as functions over its tables."""

from collections.abc import Iterable, Mapping

from ..core.configuration import Configuration, Kind
from ..core.ids import Attempt, DomainId, ServiceId, TaskId, TeamId
from ..core.messages import (
    CellDigest,
    Closure,
    JobAccount,
    OfferAttempt,
    SubmitJob,
)
from ..core.records import (
    AnyRecord,
    AttemptAssigned,
    AttemptEnded,
    RowsPruned,
    TaskAccepted,
    TaskCancelled,
    TaskRejected,
)
from ..core.resources import Resources
from ..core.states import DomainState, TaskClass, TaskState
from ..streams.names import find_partition
from .ledger import (
    CLAIM_WINDOW_SECONDS,
    TASK_RETENTION_SECONDS,
    LedgerState,
    TaskRow,
)

LOOK_AGAIN_SECONDS = 1.0
SERVICE_PRIORITY = 1_000_000
PRUNE_SLACK_SECONDS = 60.0


def name_replica(service: ServiceId, index: int) -> TaskId:
    """Return the task that stands for one replica of a service."""
    return TaskId(f"{service}/{index}")


def accept_job(message: SubmitJob, kind: Kind) -> TaskAccepted:
    """Return the record that takes a job into its ledger."""
    return TaskAccepted(
        task=message.task,
        team=kind.team,
        kind=message.kind,
        task_class=kind.task_class,
        resources=kind.task.to_resources(),
        priority=kind.priority,
        urgent=kind.urgent,
        run_seconds=message.run_seconds,
    )


def declare_replicas(
    state: LedgerState, configuration: Configuration
) -> list[AnyRecord]:
    """Return the records that bring the replicas to their declared counts."""
    records: list[AnyRecord] = []
    declared = set()
    for name, service in configuration.services.items():
        if not _keeps(state, service.team, configuration):
            continue
        for index in range(service.replicas):
            task = name_replica(name, index)
            declared.add(task)
            if task not in state.replicas:
                records.append(_accept_replica(task, name, configuration))
    records.extend(_cancel_undeclared(state, declared))
    return records


def assign_waiting(
    state: LedgerState,
    cells: Mapping[DomainId, CellDigest],
    configuration: Configuration,
) -> list[AttemptAssigned]:
    """Return an assignment for each waiting task that some cell has room for."""
    free = {
        domain: digest.free
        for domain, digest in cells.items()
        if domain in configuration.domains
        and configuration.domains[domain].state is DomainState.IN
    }
    records = []
    for task in sorted(state.waiting, key=lambda t: _rank(state.tasks[t])):
        row = state.tasks[task]
        need = row.accepted.resources
        cell = _pick_cell(free, need)
        if cell is None:
            continue
        free[cell] = free[cell] - need
        records.append(AttemptAssigned(task, Attempt(row.attempt + 1), cell))
    return records


def build_offer(state: LedgerState, task: TaskId) -> OfferAttempt:
    """Return the offer of an assigned attempt to its cell."""
    row = state.tasks[task]
    accepted = row.accepted
    assert row.cell is not None
    return OfferAttempt(
        ledger=state.partition,
        ledger_epoch=state.ownership.epoch,
        task=accepted.task,
        attempt=row.attempt,
        cell=row.cell,
        kind=accepted.kind,
        task_class=accepted.task_class,
        resources=accepted.resources,
        service=accepted.service,
        checkpoint=row.checkpoint,
        run_seconds=accepted.run_seconds,
        cancelled=row.cancelling,
        urgent=accepted.urgent,
    )


def is_open(state: LedgerState, task: TaskId, attempt: Attempt) -> bool:
    """Return whether the ledger has yet to record the end of an attempt."""
    row = state.tasks.get(task)
    return (
        row is not None and row.state is TaskState.ASSIGNED and row.attempt == attempt
    )


def end_attempt(closure: Closure) -> AttemptEnded:
    """Return the record that takes note of a closure."""
    return AttemptEnded(
        closure.task,
        closure.attempt,
        closure.outcome,
        closure.checkpoint,
        closure.reason,
    )


def reject_hopeless(
    state: LedgerState,
    tasks: Iterable[TaskId],
    cells: Mapping[DomainId, CellDigest],
    configuration: Configuration,
) -> list[TaskRejected]:
    """Return a final answer for each of the waiting tasks that can never run."""
    shapes = _collect_shapes(cells, configuration)
    limit = configuration.limits.attempts_per_task
    records = []
    for task in tasks:
        row = state.tasks.get(task)
        if row is None or row.state is not TaskState.WAITING:
            continue
        reason = _find_hopelessness(row, shapes, limit)
        if reason is not None:
            records.append(TaskRejected(task, reason))
    return records


def prune_rows(state: LedgerState, wall: float) -> RowsPruned | None:
    """Return the record that forgets old rows, if enough have gathered.

    Parameters
    ----------
    wall : float
        Seconds since the Unix epoch.
    """
    task, key = state.find_oldest()
    tasks_before = wall - TASK_RETENTION_SECONDS
    claims_before = wall - CLAIM_WINDOW_SECONDS
    is_due = (
        task < tasks_before - PRUNE_SLACK_SECONDS
        or key < claims_before - PRUNE_SLACK_SECONDS
    )
    return RowsPruned(tasks_before, claims_before) if is_due else None


def describe_task(row: TaskRow) -> JobAccount:
    """Return a task's account for callers and operators."""
    waiting = row.state is TaskState.WAITING
    return JobAccount(
        task=row.accepted.task,
        team=row.accepted.team,
        kind=row.accepted.kind,
        state=row.state,
        attempts=row.attempt,
        cell=row.cell,
        reason=row.reason,
        waits_for="room in a failure domain" if waiting else "",
        look_again=LOOK_AGAIN_SECONDS,
    )


def _keeps(state: LedgerState, team: TeamId, configuration: Configuration) -> bool:
    partitions = configuration.limits.ledger_partitions
    return find_partition(team, partitions) == state.partition


def _accept_replica(
    task: TaskId, name: ServiceId, configuration: Configuration
) -> TaskAccepted:
    service = configuration.services[name]
    return TaskAccepted(
        task=task,
        team=service.team,
        kind=name,  # type: ignore[arg-type]
        task_class=TaskClass.LATENCY_CRITICAL,
        resources=service.task.to_resources(),
        priority=SERVICE_PRIORITY,
        urgent=True,
        run_seconds=0.0,
        service=name,
    )


def _cancel_undeclared(state: LedgerState, declared: set[TaskId]) -> list[AnyRecord]:
    return [
        TaskCancelled(task)
        for task in state.replicas
        if task not in declared and not state.tasks[task].cancelling
    ]


def _rank(row: TaskRow) -> tuple[bool, int]:
    return (not row.accepted.urgent, -row.accepted.priority)


def _pick_cell(free: Mapping[DomainId, Resources], need: Resources) -> DomainId | None:
    fitting = [domain for domain, room in free.items() if need.fits_within(room)]
    return max(fitting, key=lambda domain: free[domain].millicores, default=None)


def _collect_shapes(
    cells: Mapping[DomainId, CellDigest], configuration: Configuration
) -> list[Resources] | None:
    """Return all capacities of workers, or None while any domain's are unknown."""
    shapes: list[Resources] = []
    for domain in configuration.domains:
        digest = cells.get(domain)
        if digest is None or not digest.shapes:
            return None
        shapes.extend(digest.shapes)
    return shapes


def _find_hopelessness(
    row: TaskRow, shapes: list[Resources] | None, limit: int
) -> str | None:
    if row.accepted.service:
        return None
    if row.failures >= limit:
        return f"failed {row.failures} times; last: {row.reason or 'no reason given'}"
    need = row.accepted.resources
    if shapes is None or any(need.fits_within(shape) for shape in shapes):
        return None
    return f"needs {need}; no worker has more than one of {shapes}"

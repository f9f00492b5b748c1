"""Decisions of a ledger's owner, as functions over its tables."""

from collections.abc import Mapping

from ..core.configuration import Configuration, Kind
from ..core.ids import Attempt, DomainId, ServiceId, TaskId, TeamId
from ..core.messages import CellDigest, JobAccount, OfferAttempt, SubmitJob
from ..core.records import (
    AnyRecord,
    AttemptAssigned,
    TaskAccepted,
    TaskCancelled,
)
from ..core.resources import Resources
from ..core.states import DomainState, TaskClass, TaskState
from ..streams.names import find_partition
from .ledger import LedgerState, TaskRow

LOOK_AGAIN_SECONDS = 1.0
SERVICE_PRIORITY = 1_000_000


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
            if task not in state.tasks:
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


def build_offers(state: LedgerState) -> list[OfferAttempt]:
    """Return the offer of each assigned attempt, to be repeated until closed."""
    return [_build_offer(state, state.tasks[task]) for task in state.assigned]


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
        for task in (*state.waiting, *state.assigned)
        if state.tasks[task].accepted.service
        and task not in declared
        and not state.tasks[task].cancelling
    ]


def _rank(row: TaskRow) -> tuple[bool, int]:
    return (not row.accepted.urgent, -row.accepted.priority)


def _pick_cell(free: Mapping[DomainId, Resources], need: Resources) -> DomainId | None:
    fitting = [domain for domain, room in free.items() if need.fits_within(room)]
    return max(fitting, key=lambda domain: free[domain].millicores, default=None)


def _build_offer(state: LedgerState, row: TaskRow) -> OfferAttempt:
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
    )

"""Builds the records and messages of a ledger's owner from the ledger's tables."""

from collections.abc import Iterable, Iterator, Mapping
from itertools import count, islice

from msgspec.structs import replace

from ..core.claims import CLAIM_WINDOW_SECONDS
from ..core.configuration import Configuration, Kind
from ..core.ids import (
    AttemptNumber,
    DomainId,
    RegionId,
    Seconds,
    ServiceId,
    TaskId,
    TeamId,
)
from ..core.messages import (
    AttemptOffer,
    CellDigest,
    Closure,
    JobList,
    JobStatus,
    ListJobs,
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
from ..core.states import AttemptOutcome, DomainState, TaskClass, TaskState
from ..placement.assignment import (
    AssignmentTables,
    SiteState,
    build_assignment_policy,
    plan_assignments,
)
from ..placement.cells import list_cell_resources
from ..placement.feasibility import explain_infeasible
from ..placement.health import HealthLimits, explain_faulty_job
from ..placement.quotas import list_quotas
from ..placement.replicas import ReplicaRow, plan_replicas
from ..placement.waits import explain_wait
from ..streams.names import find_partition
from .ledger import (
    TASK_RETENTION_SECONDS,
    LedgerState,
    TaskRow,
)

POLL_PERIOD_SECONDS = 1.0
LISTED_JOBS_MAX = 200
SERVICE_PRIORITY = 1_000_000
PRUNE_SLACK_SECONDS = 60.0


def name_replica(service: ServiceId, index: int) -> TaskId:
    """Return the task id of one replica of a service."""
    return TaskId(f"{service}/{index}")


def build_job_acceptance(message: SubmitJob, kind: Kind) -> TaskAccepted:
    """Build the record that accepts a job into its ledger."""
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


def reconcile_replicas(
    state: LedgerState, configuration: Configuration
) -> list[AnyRecord]:
    """Return the records that bring the replicas to their configured counts.

    A replica in a domain that is out isn't counted: it is replaced while it is
    still running. Services of teams in other partitions are skipped.
    """
    records: list[AnyRecord] = []
    cells_in = _list_domains_in(configuration)
    rows = _list_replicas(state)
    for name, service in configuration.services.items():
        if not _owns_team(state, service.team, configuration):
            continue
        plan = plan_replicas(rows.pop(name, ()), service.replicas, cells_in)
        records.extend(TaskCancelled(task) for task in plan.cancel)
        for task in islice(_list_free_names(state, name), plan.add):
            records.append(_build_replica_acceptance(task, name, configuration))
    for undeclared in rows.values():
        records.extend(TaskCancelled(row.task) for row in undeclared)
    return records


def assign_waiting(
    state: LedgerState,
    cells: Mapping[DomainId, CellDigest],
    configuration: Configuration,
    tables: AssignmentTables,
    *,
    now: Seconds,
    wall: float,
) -> list[AttemptAssigned]:
    """Return the records that assign waiting tasks to cells.

    ``tables`` is updated with the reasons why the other tasks wait.

    Parameters
    ----------
    wall : float
        Seconds since the Unix epoch.
    """
    site = SiteState(
        cells=list_cell_resources(cells, configuration),
        quotas=list_quotas(configuration.teams),
        quota_usage=state.quota_usage.copy(),
        replicas=dict(state.replica_cells),
        now=now,
        wall_seconds=wall,
        any_domain_in=bool(_list_domains_in(configuration)),
        degraded_regions=_list_degraded_regions(configuration),
    )
    policy = build_assignment_policy(configuration.placement)
    planned = plan_assignments(state.queue, site, tables, policy)
    return [
        AttemptAssigned(
            step.task, AttemptNumber(state.tasks[step.task].attempt + 1), step.cell
        )
        for step in planned
    ]


def record_declines(
    state: LedgerState,
    ended: Iterable[AnyRecord],
    tables: AssignmentTables,
    now: Seconds,
) -> None:
    """Back off from cells that declined an assigned attempt for lack of capacity."""
    for record in ended:
        if not isinstance(record, AttemptEnded):
            continue
        row = state.tasks[record.task]
        if record.outcome is AttemptOutcome.DECLINED and row.cell is not None:
            tables.backoff.record_decline(row.cell, row.accepted.resources, now)


def build_offer(state: LedgerState, task: TaskId) -> AttemptOffer:
    """Build the message that offers an assigned attempt to its cell."""
    row = state.tasks[task]
    accepted = row.accepted
    assert row.cell is not None
    return AttemptOffer(
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
        priority=accepted.priority,
        urgent=accepted.urgent,
        avoid=[*row.failed_on, *row.crashed_on],
    )


def is_open(state: LedgerState, task: TaskId, attempt: AttemptNumber) -> bool:
    """Return whether the attempt is the task's current one and hasn't ended."""
    row = state.tasks.get(task)
    return (
        row is not None and row.state is TaskState.ASSIGNED and row.attempt == attempt
    )


def build_attempt_end(closure: Closure) -> AttemptEnded:
    """Build the record of an attempt's end from the closure reported by its cell."""
    return AttemptEnded(
        closure.task,
        closure.attempt,
        closure.outcome,
        closure.checkpoint,
        closure.reason,
        closure.worker,
        closure.crashed,
    )


def reject_infeasible(
    state: LedgerState,
    tasks: Iterable[TaskId],
    cells: Mapping[DomainId, CellDigest],
    configuration: Configuration,
) -> list[TaskRejected]:
    """Return the records that reject tasks that can't run or failed too often.

    Of ``tasks``, only those that are still waiting are rejected.
    """
    capacities = collect_capacities(cells, configuration)
    records = []
    for task in tasks:
        row = state.tasks.get(task)
        if row is None or row.state is not TaskState.WAITING:
            continue
        reason = _explain_rejection(row, capacities, configuration)
        if reason:
            records.append(TaskRejected(task, reason))
    return records


def prune_rows(state: LedgerState, wall: float) -> RowsPruned | None:
    """Return the record that deletes rows past their retention, if it is worth it.

    Rows are deleted only once one is overdue by ``PRUNE_SLACK_SECONDS``, so one
    record deletes many of them.

    Parameters
    ----------
    wall : float
        Seconds since the Unix epoch.
    """
    task_ended_at, key_created_at = state.find_oldest_times()
    tasks_before = wall - TASK_RETENTION_SECONDS
    claims_before = wall - CLAIM_WINDOW_SECONDS
    is_due = (
        task_ended_at < tasks_before - PRUNE_SLACK_SECONDS
        or key_created_at < claims_before - PRUNE_SLACK_SECONDS
    )
    return RowsPruned(tasks_before, claims_before) if is_due else None


def describe_task(
    state: LedgerState, row: TaskRow, tables: AssignmentTables, now: Seconds
) -> JobStatus:
    """Describe the status of a task for callers and operators."""
    status = JobStatus(
        task=row.accepted.task,
        team=row.accepted.team,
        kind=row.accepted.kind,
        state=row.state,
        attempts=row.attempt,
        cell=row.cell,
        reason=row.reason,
        poll_after_seconds=POLL_PERIOD_SECONDS,
    )
    if row.state is not TaskState.WAITING:
        return status
    wait = explain_wait(row.accepted.task, state.queue, tables, now)
    return replace(
        status, waits_for=wait.reason.value, poll_after_seconds=wait.poll_after_seconds
    )


def list_jobs(
    state: LedgerState, message: ListJobs, tables: AssignmentTables, now: Seconds
) -> JobList:
    """Return a team's newest batch jobs, up to the requested limit."""
    jobs = [
        row
        for row in state.tasks.values()
        if row.accepted.team == message.team
        and row.accepted.task_class is TaskClass.BATCH
    ]
    newest = jobs[::-1][: max(0, min(message.limit, LISTED_JOBS_MAX))]
    statuses = [describe_task(state, row, tables, now) for row in newest]
    return JobList(jobs=statuses, total=len(jobs))


def _owns_team(state: LedgerState, team: TeamId, configuration: Configuration) -> bool:
    partitions = configuration.limits.ledger_partitions
    return find_partition(team, partitions) == state.partition


def _build_replica_acceptance(
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


def _list_replicas(state: LedgerState) -> dict[ServiceId, list[ReplicaRow]]:
    rows: dict[ServiceId, list[ReplicaRow]] = {}
    for task in state.replicas:
        row = state.tasks[task]
        if not row.cancelling:
            index = int(task.rpartition("/")[2])
            replica = ReplicaRow(task, index, row.state, row.cell)
            rows.setdefault(row.accepted.service, []).append(replica)
    return rows


def _list_free_names(state: LedgerState, service: ServiceId) -> Iterator[TaskId]:
    names = (name_replica(service, index) for index in count())
    return (name for name in names if name not in state.replicas)


def _list_domains_in(configuration: Configuration) -> frozenset[DomainId]:
    return frozenset(
        name
        for name, domain in configuration.domains.items()
        if domain.state is DomainState.IN
    )


def _list_degraded_regions(configuration: Configuration) -> frozenset[RegionId]:
    return frozenset(
        domain.region
        for domain in configuration.domains.values()
        if domain.state is DomainState.OUT
    )


def collect_capacities(
    cells: Mapping[DomainId, CellDigest], configuration: Configuration
) -> frozenset[Resources] | None:
    """Return all distinct worker capacities; None while any domain's are unknown.

    A domain that hasn't reported may have the only workers that are large enough.
    """
    capacities: set[Resources] = set()
    for domain in configuration.domains:
        digest = cells.get(domain)
        if digest is None or not digest.worker_capacities:
            return None
        capacities.update(digest.worker_capacities)
    return frozenset(capacities)


def _explain_rejection(
    row: TaskRow, capacities: frozenset[Resources] | None, configuration: Configuration
) -> str:
    accepted = row.accepted
    if accepted.service:
        return ""
    if row.failures >= configuration.limits.attempts_per_task:
        return f"failed {row.failures} times; last: {row.reason or 'no reason given'}"
    if row.crashes >= configuration.limits.attempts_per_task:
        return f"{row.crashes} workers crashed under it"
    fault = explain_faulty_job(frozenset(row.failed_on), HealthLimits())
    if fault:
        return f"{fault}; last: {row.reason or 'no reason given'}"
    return explain_infeasible(
        accepted.resources, accepted.team, configuration, capacities
    )

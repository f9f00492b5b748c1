"""Learns from the reports of a cell's workers, and mitigates interference on them."""

from collections.abc import Callable

from ..core.configuration import Configuration, Placement
from ..core.ids import Seconds, TaskId, WorkerId
from ..core.messages import AttemptReport
from ..core.records import AttemptPlaced
from ..core.resources import Resources
from ..core.states import AttemptOutcome, DomainState
from ..ledgers.cell import CellState
from ..placement.drain import DRAIN_POLICIES, DrainingAttempt
from ..placement.mitigation import Evict, Mitigation, Throttle
from ..placement.reports import learn_from_report, plan_mitigation, record_end
from ..placement.workers import CellPolicy, CellTables, build_cell_policy
from ..streams.replica import Replica
from .cell_workers import CellWorkers
from .node import Node

DRAIN_CHECK_PERIOD_SECONDS = 0.5


class CellLearning:
    """Updates what the owner of a cell has learned about its workers and kinds.

    The tables are kept in memory only, so a new owner starts with empty ones.
    """

    def __init__(self, node: Node, replica: Replica[CellState]) -> None:
        self.tables = CellTables()
        self.policy = CellPolicy()
        self._applied_options: Placement | None = None
        self._node = node
        self._replica = replica
        self._drain_due = Seconds(0.0)
        self._free_elsewhere = Resources()

    @property
    def state(self) -> CellState:
        """The replayed state of the cell."""
        return self._replica.reducer

    def activate(self, now: Seconds) -> None:
        """Reset all tables; the budgets refill from empty."""
        self.tables = CellTables()
        self._applied_options = None
        self.tables.mitigation.budget.refill(now)
        self.tables.holds.budget.refill(now)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply the placement policies and limits of the configuration in force."""
        if configuration.placement is not self._applied_options:
            self._applied_options = configuration.placement
            self.policy = build_cell_policy(configuration.placement)
            self.tables.set_limits(configuration.placement)

    def handle_report(
        self,
        worker: WorkerId,
        reports: list[AttemptReport],
        workers: CellWorkers,
        now: Seconds,
    ) -> None:
        """Learn from a worker's report and mitigate interference with its services."""
        row = self.state.workers[worker]
        attempts = {
            task: self.state.open_attempts[task]
            for task in row.attempts
            if not workers.is_stopping(task)
        }
        current = [
            report
            for report in reports
            if report.task in attempts
            and attempts[report.task].attempt == report.attempt
        ]
        learn_from_report(worker, row.capacity, current, attempts, self.tables, now)
        actions = plan_mitigation(
            worker,
            row.capacity,
            current,
            attempts,
            self.state.occupancy,
            self.tables,
            self.policy,
            now,
        )
        for action in actions:
            self._apply_mitigation(action, attempts[action.task], workers, now)

    def record_changes(self, tasks: list[TaskId], now: Seconds) -> None:
        """Record attempts that were placed or closed."""
        for task in tasks:
            row = self.state.attempts.get(task)
            if row is None or row.placed is None:
                continue
            if row.closed is None:
                self._record_placed(row.placed, now)
            elif row.placed.worker in self.state.workers:
                self._record_closed(row.placed, row.closed.outcome, now)

    def select_for_drain(
        self, is_domain_in: bool, workers: CellWorkers, now: Seconds
    ) -> list[TaskId]:
        """Return the attempts to stop now because the failure domain is out."""
        drain = self.tables.drain
        if drain.since is None and not is_domain_in:
            self._free_elsewhere = self._compute_free_elsewhere(now)
            self._drain_due = now
        drain.update(not is_domain_in, now)
        if is_domain_in or now < self._drain_due:
            return []
        self._drain_due = Seconds(now + DRAIN_CHECK_PERIOD_SECONDS)
        remaining = [
            task for task in self.state.open_attempts if not workers.is_stopping(task)
        ]
        unstarted = [task for task in remaining if task not in workers.reports]
        rows = [
            _build_draining_attempt(self.state.open_attempts[task])
            for task in remaining
            if task in workers.reports
        ]
        select = DRAIN_POLICIES.find(self.policy.drain)
        return [*unstarted, *select(rows, self._free_elsewhere, drain, now)]

    def _apply_mitigation(
        self,
        action: Mitigation,
        placed: AttemptPlaced,
        workers: CellWorkers,
        now: Seconds,
    ) -> None:
        match action:
            case Evict():
                self._node.events.add(
                    "attempt.evicting", placed.task, worker=placed.worker
                )
                workers.schedule_stop(placed.task, now)
            case Throttle():
                undo = self._build_throttle_undo(placed, now)
                workers.throttle(placed, action.millicores, undo)

    def _build_throttle_undo(
        self, placed: AttemptPlaced, now: Seconds
    ) -> Callable[[], None]:
        declared = placed.resources.millicores

        def undo() -> None:
            if self.state.open_attempts.get(placed.task) == placed:
                self.tables.progress.set_limit(placed.task, declared, now)

        return undo

    def _compute_free_elsewhere(self, now: Seconds) -> Resources:
        """Return the free capacity of the other failure domains that are in."""
        configuration = self._node.current_configuration
        free = Resources()
        for domain, digest in self._node.collect_cells(now).items():
            declared = configuration.domains.get(domain) if configuration else None
            is_other = domain != self.state.domain
            if declared and is_other and declared.state is DomainState.IN:
                free = free + digest.free
        return free

    def _record_placed(self, placed: AttemptPlaced, now: Seconds) -> None:
        self.tables.changes.record_arrival(placed.worker, placed.task, now)
        self.tables.health.record_placement(placed.worker, now)

    def _record_closed(
        self, placed: AttemptPlaced, outcome: AttemptOutcome, now: Seconds
    ) -> None:
        capacity = self.state.workers[placed.worker].capacity
        record_end(placed, capacity, self.tables, now)
        health = self.tables.health
        match outcome:
            case AttemptOutcome.FINISHED:
                health.record_success(placed.worker, placed.kind, placed.task)
            case AttemptOutcome.FAILED | AttemptOutcome.DECLINED:
                count = len(self.state.workers)
                health.record_failure(
                    placed.worker, placed.kind, placed.task, count, now
                )
            case _:
                health.record_inconclusive(placed.worker)


def _build_draining_attempt(placed: AttemptPlaced) -> DrainingAttempt:
    return DrainingAttempt(
        placed.task,
        placed.attempt,
        placed.task_class,
        placed.priority,
        placed.resources,
    )

"""Offers that a full cell holds while it evicts batch attempts for them."""

from dataclasses import dataclass, field

from ..core.ids import Seconds, TaskId, WorkerId
from .budget import BudgetLimits, EvictionBudget

HOLD_SECONDS = 10.0
MAX_VICTIMS = 8
PREEMPTION_BUDGET = BudgetLimits(burst=16, per_second=1.0)


@dataclass(frozen=True)
class Hold:
    """The worker on which capacity is being freed for an offer, and the deadline."""

    worker: WorkerId
    until: Seconds


@dataclass
class HoldTable:
    """Held offers, and the budget of evictions for them."""

    budget: EvictionBudget = field(
        default_factory=lambda: EvictionBudget(PREEMPTION_BUDGET)
    )
    rows: dict[TaskId, Hold] = field(default_factory=dict)

    def hold(self, task: TaskId, worker: WorkerId, now: Seconds) -> None:
        """Hold an offer while capacity is freed on a worker."""
        self.rows = {
            name: row
            for name, row in self.rows.items()
            if now < row.until + HOLD_SECONDS
        }
        self.rows[task] = Hold(worker, Seconds(now + HOLD_SECONDS))

    def release(self, task: TaskId) -> None:
        """Stop holding an offer."""
        self.rows.pop(task, None)

    def is_held(self, task: TaskId, now: Seconds) -> bool:
        """Return whether the offer is held and its hold has not expired."""
        row = self.rows.get(task)
        return row is not None and now < row.until

    def list_reserved(self, now: Seconds) -> frozenset[WorkerId]:
        """Return the workers on which capacity is being freed for held offers."""
        return frozenset(r.worker for r in self.rows.values() if now < r.until)

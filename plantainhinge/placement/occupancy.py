"""Index of the open attempts in a cell by worker, kind and service."""

from collections import Counter
from dataclasses import dataclass, field

from ..core.ids import KindId, RackId, ServiceId, WorkerId
from ..core.records import AttemptPlaced
from ..core.resources import Resources
from ..core.states import TaskClass


@dataclass(frozen=True)
class KindCount:
    """Number of attempts of one kind on a worker, and their declared processors."""

    kind: KindId
    task_class: TaskClass
    count: int
    millicores: int


@dataclass
class OccupancyTable:
    """Open attempts by worker and kind, and replicas by service.

    Parameters
    ----------
    critical : Resources
        Resources held by all latency-critical attempts.
    """

    kinds: dict[WorkerId, dict[KindId, KindCount]] = field(default_factory=dict)
    rack_replicas: Counter[tuple[ServiceId, RackId]] = field(default_factory=Counter)
    worker_replicas: Counter[tuple[ServiceId, WorkerId]] = field(
        default_factory=Counter
    )
    replicas: Counter[ServiceId] = field(default_factory=Counter)
    critical: Resources = Resources()

    def add(self, placed: AttemptPlaced, rack: RackId) -> None:
        """Add an attempt that was placed."""
        self._change(placed, rack, 1)

    def remove(self, placed: AttemptPlaced, rack: RackId) -> None:
        """Remove an attempt that was closed."""
        self._change(placed, rack, -1)

    def _change(self, placed: AttemptPlaced, rack: RackId, sign: int) -> None:
        row = self.kinds.setdefault(placed.worker, {})
        known = row.get(placed.kind)
        count = (known.count if known else 0) + sign
        millicores = (known.millicores if known else 0) + (
            sign * placed.resources.millicores
        )
        if count > 0:
            row[placed.kind] = KindCount(
                placed.kind, placed.task_class, count, millicores
            )
        else:
            row.pop(placed.kind, None)
        if placed.task_class is TaskClass.LATENCY_CRITICAL:
            held = self.critical
            need = placed.resources
            self.critical = held + need if sign > 0 else held - need
        if placed.service:
            self.replicas[placed.service] += sign
            self.rack_replicas[placed.service, rack] += sign
            self.worker_replicas[placed.service, placed.worker] += sign

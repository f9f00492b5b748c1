"""Choice of the cell for a waiting task; each failure domain has one cell."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from ..core.configuration import Configuration
from ..core.ids import DomainId, RegionId, ServiceId
from ..core.messages import CellDigest
from ..core.registry import Registry
from ..core.resources import Resources
from ..core.states import DomainState, TaskClass
from .queue import Shape


@dataclass(frozen=True)
class CellResources:
    """Resources of a cell from its digest, less what the current plan assigned to it.

    Parameters
    ----------
    largest_free : Resources
        The largest free amount on any one worker, separately for each resource.
    critical : Resources
        Resources held by latency-critical tasks, and by urgent tasks of this plan.
    """

    domain: DomainId
    region: RegionId
    free: Resources
    largest_free: Resources
    capacity: Resources
    critical: Resources = Resources()

    def fits(self, need: Resources) -> bool:
        """Return whether some worker may have enough free resources."""
        return need.fits_within(self.free) and need.fits_within(self.largest_free)

    def fits_after_preemption(self, need: Resources) -> bool:
        """Return whether evicting batch attempts could free enough capacity."""
        return need.fits_within(self.capacity - self.critical)

    def assign(self, shape: Shape) -> "CellResources":
        """Return what is left after a task was assigned, with preemption if needed."""
        critical = self.critical
        if is_time_critical(shape):
            critical = critical + shape.resources
        free = _subtract_clamped(self.free, shape.resources)
        return replace(self, free=free, critical=critical)


def is_time_critical(shape: Shape) -> bool:
    """Return whether the task may preempt batch work and bypass ramp and headroom."""
    return shape.urgent or shape.task_class is TaskClass.LATENCY_CRITICAL


ReplicaCounts = Mapping[tuple[ServiceId, DomainId], int]
CellChoice = Callable[[Sequence[CellResources], Shape, ReplicaCounts], CellResources]
CELL_CHOICES: Registry[CellChoice] = Registry("cell choice")


@CELL_CHOICES.register("first-fit")
def choose_first(
    cells: Sequence[CellResources], shape: Shape, replicas: ReplicaCounts
) -> CellResources:
    """Choose the first cell."""
    return cells[0]


@CELL_CHOICES.register("most-free")
def choose_most_free(
    cells: Sequence[CellResources], shape: Shape, replicas: ReplicaCounts
) -> CellResources:
    """Choose the cell with the most free processors."""
    return max(cells, key=lambda cell: cell.free.millicores)


@CELL_CHOICES.register("spread")
def choose_spread(
    cells: Sequence[CellResources], shape: Shape, replicas: ReplicaCounts
) -> CellResources:
    """Choose the cell with the fewest replicas of the service, then the emptiest."""

    def rank(cell: CellResources) -> tuple[int, float]:
        count = replicas.get((shape.service, cell.domain), 0) if shape.service else 0
        return (-count, compute_free_share(cell, shape.resources))

    return max(cells, key=rank)


def compute_free_share(cell: CellResources, need: Resources) -> float:
    """Return the free fraction of the scarcest resource after a placement."""
    rest = cell.free - need
    return min(
        rest.millicores / max(1, cell.capacity.millicores),
        rest.memory_mib / max(1, cell.capacity.memory_mib),
    )


def list_cell_resources(
    digests: Mapping[DomainId, CellDigest], configuration: Configuration
) -> dict[DomainId, CellResources]:
    """Return the resources of each cell in service that has published a digest."""
    cells = {}
    for name, domain in configuration.domains.items():
        digest = digests.get(name)
        if digest is None or domain.state is not DomainState.IN:
            continue
        cells[name] = CellResources(
            name,
            domain.region,
            digest.free,
            digest.largest_free,
            digest.capacity,
            digest.critical,
        )
    return cells


@dataclass(frozen=True)
class Headroom:
    """Free capacity of a region, kept for the services of any one of its domains.

    Parameters
    ----------
    cells : tuple of CellResources
        The cells of the region. With a single cell no headroom is kept.
    free : Resources
        Free resources of all these cells.
    """

    cells: tuple[CellResources, ...]
    free: Resources

    def allows(self, chosen: CellResources, need: Resources, share: float) -> bool:
        """Return whether enough headroom is left if ``chosen`` takes ``need``.

        Parameters
        ----------
        share : float
            Fraction of a domain's latency-critical resources that the other domains
            of its region keep free. If the domain leaves, the rest is freed by
            evicting batch work.
        """
        if len(self.cells) == 1:
            return True
        free = self.free - need
        for leaving in self.cells:
            own = leaving.free
            if leaving.domain == chosen.domain:
                own = own - need
            if not scale_resources(leaving.critical, share).fits_within(free - own):
                return False
        return True


def measure_headroom(cells: Iterable[CellResources], region: RegionId) -> Headroom:
    """Sum up the free resources of the cells in one region."""
    in_region = tuple(cell for cell in cells if cell.region == region)
    return Headroom(in_region, sum((cell.free for cell in in_region), Resources()))


def _subtract_clamped(amount: Resources, taken: Resources) -> Resources:
    rest = amount - taken
    return Resources(
        max(0, rest.millicores), max(0, rest.memory_mib), max(0, rest.accelerators)
    )


def scale_resources(amount: Resources, share: float) -> Resources:
    """Return ``share`` of each amount, rounded down."""
    return Resources(
        int(amount.millicores * share),
        int(amount.memory_mib * share),
        int(amount.accelerators * share),
    )

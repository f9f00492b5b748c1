"""Choice of the cell, that is the failure domain, for a waiting task."""

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
    """What a cell can still take, as far as its digest and this plan tell.

    Parameters
    ----------
    largest_free : Resources
        The most that one worker has free, each amount by itself.
    critical : Resources
        What its latency-critical tasks hold, and urgent ones of this plan.
    """

    domain: DomainId
    region: RegionId
    free: Resources
    largest_free: Resources
    capacity: Resources
    critical: Resources = Resources()

    def fits(self, need: Resources) -> bool:
        """Return whether some worker may have room."""
        return need.fits_within(self.free) and need.fits_within(self.largest_free)

    def fits_after_preemption(self, need: Resources) -> bool:
        """Return whether evicting batch attempts may make room."""
        return need.fits_within(self.capacity - self.critical)

    def take(self, shape: Shape) -> "CellResources":
        """Return the room after a placement, or after room was made for it."""
        critical = self.critical
        if is_time_critical(shape):
            critical = critical + shape.resources
        free = _subtract_clamped(self.free, shape.resources)
        return replace(self, free=free, critical=critical)


def is_time_critical(shape: Shape) -> bool:
    """Return whether batch work that can wait gives way to the task."""
    return shape.urgent or shape.task_class is TaskClass.LATENCY_CRITICAL


ReplicaCounts = Mapping[tuple[ServiceId, DomainId], int]
CellChoice = Callable[[Sequence[CellResources], Shape, ReplicaCounts], CellResources]
CELL_CHOICES: Registry[CellChoice] = Registry("cell choice")


@CELL_CHOICES.register("first-fit")
def choose_first(
    rooms: Sequence[CellResources], shape: Shape, replicas: ReplicaCounts
) -> CellResources:
    """Choose the first cell with room."""
    return rooms[0]


@CELL_CHOICES.register("most-free")
def choose_most_free(
    rooms: Sequence[CellResources], shape: Shape, replicas: ReplicaCounts
) -> CellResources:
    """Choose the cell with most free processors."""
    return max(rooms, key=lambda room: room.free.millicores)


@CELL_CHOICES.register("spread")
def choose_spread(
    rooms: Sequence[CellResources], shape: Shape, replicas: ReplicaCounts
) -> CellResources:
    """Choose the cell with fewest replicas of the service, then the emptiest."""

    def weigh(room: CellResources) -> tuple[int, float]:
        count = replicas.get((shape.service, room.domain), 0) if shape.service else 0
        return (-count, compute_free_share(room, shape.resources))

    return max(rooms, key=weigh)


def compute_free_share(room: CellResources, need: Resources) -> float:
    """Return the share of the scarcest resource left after a placement."""
    rest = room.free - need
    return min(
        rest.millicores / max(1, room.capacity.millicores),
        rest.memory_mib / max(1, room.capacity.memory_mib),
    )


def list_cell_resources(
    digests: Mapping[DomainId, CellDigest], configuration: Configuration
) -> dict[DomainId, CellResources]:
    """Return the room of each cell that is in and has told of itself."""
    rooms = {}
    for name, domain in configuration.domains.items():
        digest = digests.get(name)
        if digest is None or domain.state is not DomainState.IN:
            continue
        rooms[name] = CellResources(
            name,
            domain.region,
            digest.free,
            digest.largest_free,
            digest.capacity,
            digest.critical,
        )
    return rooms


@dataclass(frozen=True)
class Headroom:
    """What the domains of one region have free, and what each holds of services.

    Parameters
    ----------
    rooms : tuple of CellResources
        The domains of the region; with one alone no headroom is kept.
    """

    cells: tuple[CellResources, ...]
    free: Resources

    def allows(self, chosen: CellResources, need: Resources, share: float) -> bool:
        """Return whether the region could still take a leaving domain's services.

        Parameters
        ----------
        share : float
            The part of a domain's latency-critical resources that the other
            domains of its region keep free; what is missing is made by evicting
            batch work.
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


def measure_headroom(rooms: Iterable[CellResources], region: RegionId) -> Headroom:
    """Return the headroom of one region."""
    mine = tuple(room for room in rooms if room.region == region)
    return Headroom(mine, sum((room.free for room in mine), Resources()))


def _subtract_clamped(amount: Resources, taken: Resources) -> Resources:
    rest = amount - taken
    return Resources(
        max(0, rest.millicores), max(0, rest.memory_mib), max(0, rest.accelerators)
    )


def scale_resources(amount: Resources, share: float) -> Resources:
    """Return a part of an amount, rounded down."""
    return Resources(
        int(amount.millicores * share),
        int(amount.memory_mib * share),
        int(amount.accelerators * share),
    )

"""Assignment of waiting tasks to cells, and why the others wait."""

import heapq
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum

from ..core.configuration import Placement
from ..core.ids import DomainId, RegionId, Seconds, ServiceId, TaskId, TeamId
from ..core.resources import Resources
from .assignment_rate import AssignmentRate
from .backoff import BackoffTable
from .cells import (
    CELL_CHOICES,
    CellResources,
    Headroom,
    is_time_critical,
    measure_headroom,
)
from .queue import QUEUE_ORDERS, Shape, WaitingQueue, WaitingTask
from .quotas import QuotaUsage, fits_quota
from .ramp import RampTable


class HoldReason(Enum):
    """Which limit holds a waiting task back."""

    TURN = "its turn"
    QUOTA = "quota of its team"
    CAPACITY = "room in a failure domain"
    HEADROOM = "room beyond the headroom kept for services"
    RAMP = "ramp of a returning failure domain"
    BACK_OFF = "a newer view of the failure domains"
    DOMAINS_OUT = "a failure domain that is in"
    STALE_VIEW = "news from the failure domains"


CAPACITY_REASONS = frozenset(
    {HoldReason.CAPACITY, HoldReason.HEADROOM, HoldReason.BACK_OFF}
)


@dataclass(frozen=True)
class AssignmentPolicy:
    """Names of the policies in force, and their limits.

    Parameters
    ----------
    headroom_share : float
        The part of a leaving domain's services that others keep room for.
    starved_seconds : float
        After this wait a task that fits nowhere keeps others out of one cell.
    preempts : bool
        Whether services and urgent work may go to full cells, which then evict
        batch attempts.
    batch_size : int
        The most assignments of one plan.
    """

    order: str = "aged-priority"
    choice: str = "spread"
    headroom_share: float = 1.0
    starvation_seconds: float = 900.0
    preempts: bool = True
    batch_size: int = 256


def select_assignment(options: Placement) -> AssignmentPolicy:
    """Return the policy that operators declared for ledgers."""
    return AssignmentPolicy(
        order=options.order,
        choice=options.cell_choice,
        headroom_share=options.headroom_share,
    )


@dataclass
class AssignmentTables:
    """What the owner of a ledger remembers between plans; lost with the owner."""

    ramp: RampTable = field(default_factory=RampTable)
    backoff: BackoffTable = field(default_factory=BackoffTable)
    hold_reasons: dict[Shape, HoldReason] = field(default_factory=dict)
    rate: AssignmentRate = field(default_factory=AssignmentRate)


@dataclass(frozen=True)
class Assignment:
    """A task that goes to a cell."""

    task: TaskId
    cell: DomainId


@dataclass
class SiteState:
    """What is known of the site while a plan is made; the plan changes it.

    Parameters
    ----------
    any_domain_in : bool
        Whether operators let any failure domain take work.
    wall : float
        Wall time in seconds, for the time waited.
    short_regions : frozenset of RegionId
        Regions with a domain out; the headroom kept for it is in use there.
    """

    cells: dict[DomainId, CellResources]
    quotas: Mapping[TeamId, Resources]
    quota_usage: QuotaUsage
    replicas: dict[tuple[ServiceId, DomainId], int]
    now: Seconds
    wall_seconds: float
    any_domain_in: bool = True
    degraded_regions: frozenset[RegionId] = frozenset()
    headroom: dict[RegionId, Headroom] = field(default_factory=dict)
    reserved_cell: DomainId | None = None
    blocked_teams: set[TeamId] = field(default_factory=set)


def plan_assignments(
    queue: WaitingQueue,
    site: SiteState,
    tables: AssignmentTables,
    policy: AssignmentPolicy,
) -> list[Assignment]:
    """Return the assignments to make now; note in ``tables`` why others wait.

    The cost follows the number of shapes and of assignments, not of tasks.
    """
    tables.ramp.update(site.cells, site.now)
    tables.backoff.expire(site.now)
    tables.hold_reasons.clear()
    planned: list[Assignment] = []
    for shape, waiting in _iterate_by_rank(queue, policy, tables.hold_reasons):
        if len(planned) == policy.batch_size:
            break
        cell = _find_cell(shape, site, tables, policy)
        if isinstance(cell, HoldReason):
            tables.hold_reasons[shape] = cell
            _reserve(shape, waiting, site, cell, policy)
            continue
        _record_assignment(shape, cell, site, tables)
        planned.append(Assignment(waiting.task, cell))
    tables.rate.record(len(planned), site.now)
    return planned


def _iterate_by_rank(
    queue: WaitingQueue, policy: AssignmentPolicy, held: Mapping[Shape, HoldReason]
) -> Iterator[tuple[Shape, WaitingTask]]:
    order = QUEUE_ORDERS.find(policy.order)
    heap = [
        (order(shape, row[0].since), row[0].task, 0, shape)
        for shape, row in queue.shapes.items()
    ]
    heapq.heapify(heap)
    while heap:
        _, _, place, shape = heapq.heappop(heap)
        row = queue.shapes[shape]
        yield shape, row[place]
        place += 1
        if place < len(row) and shape not in held:
            rank = order(shape, row[place].since)
            heapq.heappush(heap, (rank, row[place].task, place, shape))


def _find_cell(
    shape: Shape, site: SiteState, tables: AssignmentTables, policy: AssignmentPolicy
) -> DomainId | HoldReason:
    if not site.cells:
        return HoldReason.STALE_VIEW if site.any_domain_in else HoldReason.DOMAINS_OUT
    fits = fits_quota(site.quota_usage, site.quotas, shape.team, shape.resources)
    if not fits or shape.team in site.blocked_teams:
        return HoldReason.QUOTA
    rooms = _list_eligible(shape, site, tables, policy)
    if isinstance(rooms, HoldReason):
        return rooms
    return _choose_cell(shape, rooms, site, policy)


def _list_eligible(
    shape: Shape, site: SiteState, tables: AssignmentTables, policy: AssignmentPolicy
) -> list[CellResources] | HoldReason:
    """Return the cells that may take the task now, or what stands against all."""
    need = shape.resources
    usable = [r for r in site.cells.values() if r.domain != site.reserved_cell]
    rooms = [room for room in usable if room.fits(need)]
    if not rooms and policy.preempts and is_time_critical(shape):
        rooms = [room for room in usable if room.fits_after_preemption(need)]
    if not rooms:
        return HoldReason.CAPACITY
    # The ramp spares a domain a stampede of work that can wait.
    if not is_time_critical(shape):
        rooms = [r for r in rooms if tables.ramp.allows_assignment(r.domain, site.now)]
    if not rooms:
        return HoldReason.RAMP
    find_pause = tables.backoff.get_remaining_pause
    rooms = [room for room in rooms if not find_pause(room.domain, need, site.now)]
    return rooms or HoldReason.BACK_OFF


def _choose_cell(
    shape: Shape, rooms: list[CellResources], site: SiteState, policy: AssignmentPolicy
) -> DomainId | HoldReason:
    if not is_time_critical(shape):
        rooms = [r for r in rooms if _keeps_headroom(r, shape, site, policy)]
        if not rooms:
            return HoldReason.HEADROOM
    choose = CELL_CHOICES.find(policy.choice)
    return choose(rooms, shape, site.replicas).domain


def _keeps_headroom(
    room: CellResources, shape: Shape, site: SiteState, policy: AssignmentPolicy
) -> bool:
    if room.region in site.degraded_regions:
        return True
    headroom = site.headroom.get(room.region)
    if headroom is None:
        headroom = measure_headroom(site.cells.values(), room.region)
        site.headroom[room.region] = headroom
    return headroom.allows(room, shape.resources, policy.headroom_share)


def _reserve(
    shape: Shape,
    waiting: WaitingTask,
    site: SiteState,
    reason: HoldReason,
    policy: AssignmentPolicy,
) -> None:
    """Keep work of later rank out, so that a large task gets room in the end."""
    if site.wall_seconds - waiting.since < policy.starvation_seconds:
        return
    if reason is HoldReason.QUOTA:
        site.blocked_teams.add(shape.team)
    if reason not in CAPACITY_REASONS or site.reserved_cell is not None:
        return
    able = [r for r in site.cells.values() if shape.resources.fits_within(r.capacity)]
    if able:
        emptiest = max(able, key=lambda room: room.largest_free.millicores)
        site.reserved_cell = emptiest.domain


def _record_assignment(
    shape: Shape, cell: DomainId, site: SiteState, tables: AssignmentTables
) -> None:
    site.cells[cell] = site.cells[cell].take(shape)
    site.headroom.pop(site.cells[cell].region, None)
    site.quota_usage.add(shape.team, shape.resources)
    tables.ramp.record_assignment(cell)
    if shape.service:
        key = (shape.service, cell)
        site.replicas[key] = site.replicas.get(key, 0) + 1

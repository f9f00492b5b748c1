"""Assignment of waiting tasks to cells, and the reasons why others keep waiting."""

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


class WaitReason(Enum):
    """The constraint that keeps a task waiting; callers see the values.

    ``TURN`` applies to tasks that the last plan did not reach, ``STALE_VIEW`` to a
    site without any digest of a cell that is in service.
    """

    TURN = "its turn"
    QUOTA = "quota of its team"
    CAPACITY = "room in a failure domain"
    HEADROOM = "room beyond the headroom kept for services"
    RAMP = "ramp of a returning failure domain"
    BACK_OFF = "a newer view of the failure domains"
    DOMAINS_OUT = "a failure domain that is in"
    STALE_VIEW = "news from the failure domains"


CAPACITY_REASONS = frozenset(
    {WaitReason.CAPACITY, WaitReason.HEADROOM, WaitReason.BACK_OFF}
)


@dataclass(frozen=True)
class AssignmentPolicy:
    """Names of the policies in force, and their limits.

    Parameters
    ----------
    order, choice : str
        Names in ``QUEUE_ORDERS`` and ``CELL_CHOICES``.
    headroom_share : float
        Fraction of the services of any one failure domain for which the other
        domains of its region keep free capacity.
    starvation_seconds : float
        Wait after which a cell is reserved for a task that fits nowhere.
    preempts : bool
        Whether services and urgent work may go to full cells, which then evict
        batch attempts.
    batch_size : int
        Maximum number of assignments in one plan.
    """

    order: str = "aged-priority"
    choice: str = "spread"
    headroom_share: float = 1.0
    starvation_seconds: float = 900.0
    preempts: bool = True
    batch_size: int = 256


def build_assignment_policy(options: Placement) -> AssignmentPolicy:
    """Build the assignment policy from the configured placement options."""
    return AssignmentPolicy(
        order=options.order,
        choice=options.cell_choice,
        headroom_share=options.headroom_share,
    )


@dataclass
class AssignmentTables:
    """State that the owner of a ledger keeps in memory between plans.

    It isn't replicated: a new owner starts with empty tables.
    """

    ramp: RampTable = field(default_factory=RampTable)
    backoff: BackoffTable = field(default_factory=BackoffTable)
    wait_reasons: dict[Shape, WaitReason] = field(default_factory=dict)
    rate: AssignmentRate = field(default_factory=AssignmentRate)


@dataclass(frozen=True)
class Assignment:
    """A task and the cell that it is assigned to."""

    task: TaskId
    cell: DomainId


@dataclass
class SiteState:
    """Capacity, quotas and replicas of the site, updated while a plan is made.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    wall_seconds : float
        Wall-clock time, from which the time waited is computed.
    any_domain_in : bool
        Whether the configuration has any failure domain in service.
    degraded_regions : frozenset of RegionId
        Regions with a domain out of service. Headroom isn't kept there, since the
        work of that domain is using it.
    headroom : dict
        Cached headroom of each region.
    reserved_cell : DomainId or None
        Cell kept free for a starved task; no later task of this plan may use it.
    blocked_teams : set of TeamId
        Teams without further assignments in this plan, since their free quota is
        reserved for a starved task.
    """

    cells: dict[DomainId, CellResources]
    quotas: Mapping[TeamId, Resources]
    quota_usage: QuotaUsage[TeamId]
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
    """Return the assignments to make now and store in ``tables`` why others wait.

    The cost grows with the number of shapes and assignments, not with the number
    of waiting tasks.
    """
    tables.ramp.update(site.cells, site.now)
    tables.backoff.expire(site.now)
    tables.wait_reasons.clear()
    planned: list[Assignment] = []
    for shape, waiting in _iterate_by_rank(queue, policy, tables.wait_reasons):
        if len(planned) == policy.batch_size:
            break
        cell = _find_cell(shape, site, tables, policy)
        if isinstance(cell, WaitReason):
            tables.wait_reasons[shape] = cell
            _reserve(shape, waiting, site, cell, policy)
            continue
        _record_assignment(shape, cell, site, tables)
        planned.append(Assignment(waiting.task, cell))
    tables.rate.record(len(planned), site.now)
    return planned


def _iterate_by_rank(
    queue: WaitingQueue, policy: AssignmentPolicy, blocked: Mapping[Shape, WaitReason]
) -> Iterator[tuple[Shape, WaitingTask]]:
    order = QUEUE_ORDERS.find(policy.order)
    heap = [
        (order(shape, tasks[0].since), tasks[0].task, 0, shape)
        for shape, tasks in queue.shapes.items()
    ]
    heapq.heapify(heap)
    while heap:
        _, _, index, shape = heapq.heappop(heap)
        tasks = queue.shapes[shape]
        yield shape, tasks[index]
        index += 1
        if index < len(tasks) and shape not in blocked:
            rank = order(shape, tasks[index].since)
            heapq.heappush(heap, (rank, tasks[index].task, index, shape))


def _find_cell(
    shape: Shape, site: SiteState, tables: AssignmentTables, policy: AssignmentPolicy
) -> DomainId | WaitReason:
    if not site.cells:
        return WaitReason.STALE_VIEW if site.any_domain_in else WaitReason.DOMAINS_OUT
    fits = fits_quota(site.quota_usage, site.quotas, shape.team, shape.resources)
    if not fits or shape.team in site.blocked_teams:
        return WaitReason.QUOTA
    cells = _list_eligible(shape, site, tables, policy)
    if isinstance(cells, WaitReason):
        return cells
    return _choose_cell(shape, cells, site, policy)


def _list_eligible(
    shape: Shape, site: SiteState, tables: AssignmentTables, policy: AssignmentPolicy
) -> list[CellResources] | WaitReason:
    """Return the cells that the task may go to, or why there is none."""
    need = shape.resources
    usable = [c for c in site.cells.values() if c.domain != site.reserved_cell]
    cells = [cell for cell in usable if cell.fits(need)]
    if not cells and policy.preempts and is_time_critical(shape):
        cells = [cell for cell in usable if cell.fits_after_preemption(need)]
    if not cells:
        return WaitReason.CAPACITY
    # The ramp protects a returning domain from a burst of work that can wait.
    if not is_time_critical(shape):
        cells = [c for c in cells if tables.ramp.allows_assignment(c.domain, site.now)]
    if not cells:
        return WaitReason.RAMP
    get_pause = tables.backoff.get_remaining_pause
    cells = [cell for cell in cells if not get_pause(cell.domain, need, site.now)]
    return cells or WaitReason.BACK_OFF


def _choose_cell(
    shape: Shape, cells: list[CellResources], site: SiteState, policy: AssignmentPolicy
) -> DomainId | WaitReason:
    if not is_time_critical(shape):
        cells = [cell for cell in cells if _keeps_headroom(cell, shape, site, policy)]
        if not cells:
            return WaitReason.HEADROOM
    choose = CELL_CHOICES.find(policy.choice)
    return choose(cells, shape, site.replicas).domain


def _keeps_headroom(
    cell: CellResources, shape: Shape, site: SiteState, policy: AssignmentPolicy
) -> bool:
    if cell.region in site.degraded_regions:
        return True
    headroom = site.headroom.get(cell.region)
    if headroom is None:
        headroom = measure_headroom(site.cells.values(), cell.region)
        site.headroom[cell.region] = headroom
    return headroom.allows(cell, shape.resources, policy.headroom_share)


def _reserve(
    shape: Shape,
    waiting: WaitingTask,
    site: SiteState,
    reason: WaitReason,
    policy: AssignmentPolicy,
) -> None:
    """Reserve a cell or a team's quota for a starved task.

    Without this a large task would starve, since smaller tasks of later rank take
    each bit of capacity that becomes free.
    """
    if site.wall_seconds - waiting.since < policy.starvation_seconds:
        return
    if reason is WaitReason.QUOTA:
        site.blocked_teams.add(shape.team)
    if reason not in CAPACITY_REASONS or site.reserved_cell is not None:
        return
    candidates = [
        cell
        for cell in site.cells.values()
        if shape.resources.fits_within(cell.capacity)
    ]
    if candidates:
        emptiest = max(candidates, key=lambda cell: cell.largest_free.millicores)
        site.reserved_cell = emptiest.domain


def _record_assignment(
    shape: Shape, cell: DomainId, site: SiteState, tables: AssignmentTables
) -> None:
    site.cells[cell] = site.cells[cell].assign(shape)
    site.headroom.pop(site.cells[cell].region, None)
    site.quota_usage.add(shape.team, shape.resources)
    tables.ramp.record_assignment(cell)
    if shape.service:
        key = (shape.service, cell)
        site.replicas[key] = site.replicas.get(key, 0) + 1

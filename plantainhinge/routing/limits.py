"""How many connections and permits one gateway may use at each target.

The bound on connections depends on the configuration alone, so it holds whatever a
gateway believes about its peers: the sum over all gateways stays within a target's
connections as long as no more gateways run in a region than are declared. The
split of permits depends on membership and load digests; it affects efficiency only.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import lru_cache

from ..core.ids import ProcessId, TargetId
from ..core.registry import Registry
from ..core.rendezvous import rank_by_rendezvous

PERMITS_PER_SLOT = 1.5
RESERVED_SLOTS = 2
LOAD_HEADROOM_RATIO = 2.0
SPLIT_CACHE_ENTRIES = 4096


@dataclass(frozen=True)
class LoadShare:
    """One gateway's share of the requests that arrive for a service.

    Parameters
    ----------
    own, total : float
        Arrivals per second at this gateway and at all live gateways.
    gateways : int
        Gateways that are believed to be alive, including this one.
    """

    own: float
    total: float
    gateways: int

    @property
    def weight(self) -> float:
        """The share of the load that this gateway carries, in (0, 1].

        It is at least half of an equal share, and an equal share without any load.
        """
        if self.total <= 0.0:
            return 1.0 / self.gateways
        return min(1.0, max(self.own / self.total, 0.5 / self.gateways))


PermitSplit = Callable[[int, int, LoadShare], int]
PERMIT_SPLITS: Registry[PermitSplit] = Registry("split of permits")


def compute_max_connections(connections: int, gateways_max: int) -> int:
    """Return how many connections one gateway may hold at a target, idle or not.

    Parameters
    ----------
    connections : int
        Connections that the target accepts from all gateways together.
    gateways_max : int
        Declared bound on the gateways that run at once, including old ones that
        are being replaced.
    """
    return connections // gateways_max


@PERMIT_SPLITS.register("fixed")
def split_fixed(slots: int, max_connections: int, load: LoadShare) -> int:
    """Return the bound on connections, whichever gateways are alive."""
    return max_connections


@PERMIT_SPLITS.register("even")
def split_evenly(slots: int, max_connections: int, load: LoadShare) -> int:
    """Return an equal share of the permits for each live gateway."""
    return _clamp_permits(slots * PERMITS_PER_SLOT / load.gateways, max_connections)


@PERMIT_SPLITS.register("load-weighted")
def split_by_load(slots: int, max_connections: int, load: LoadShare) -> int:
    """Return a share of the permits in proportion to this gateway's load."""
    return _clamp_permits(slots * PERMITS_PER_SLOT * load.weight, max_connections)


BatchPermitCount = Callable[[int, float], int]
BATCH_PERMIT_COUNTS: Registry[BatchPermitCount] = Registry("number of batch permits")


@BATCH_PERMIT_COUNTS.register("all")
def reserve_nothing(slots: int, critical_slots: float) -> int:
    """Return all slots; none are reserved for latency-critical requests."""
    return slots


@BATCH_PERMIT_COUNTS.register("half")
def reserve_half(slots: int, critical_slots: float) -> int:
    """Return half of a target's slots, however many are in use."""
    return max(1, slots // 2)


@BATCH_PERMIT_COUNTS.register("follow-load")
def reserve_by_load(slots: int, critical_slots: float) -> int:
    """Return the slots that latency-critical requests do not need, at least half.

    Parameters
    ----------
    critical_slots : float
        Slots of one target that latency-critical requests occupy on average.
    """
    reserved = RESERVED_SLOTS + math.ceil(LOAD_HEADROOM_RATIO * critical_slots)
    return max(1, slots // 2, slots - reserved)


BatchPermitSplit = Callable[[int, TargetId, ProcessId, frozenset[ProcessId]], int]
BATCH_PERMIT_SPLITS: Registry[BatchPermitSplit] = Registry("split of batch permits")


@BATCH_PERMIT_SPLITS.register("shared")
def allow_all_permits(
    permits: int,
    target: TargetId,
    gateway: ProcessId,
    live_gateways: frozenset[ProcessId],
) -> int:
    """Return all permits, as if no other gateway sent batch requests."""
    return permits


@BATCH_PERMIT_SPLITS.register("rendezvous")
@lru_cache(maxsize=SPLIT_CACHE_ENTRIES)
def split_by_rendezvous(
    permits: int,
    target: TargetId,
    gateway: ProcessId,
    live_gateways: frozenset[ProcessId],
) -> int:
    """Return how many batch requests this gateway may have in flight at a target.

    The batch permits are assigned to the live gateways in turn, in the target's
    rendezvous order. While all gateways agree on who is alive, their sum does not
    exceed the permits.
    """
    ranked = rank_by_rendezvous(target, live_gateways | {gateway})
    return sum(
        1 for permit in range(permits) if ranked[permit % len(ranked)] == gateway
    )


def choose_subset(
    gateway: ProcessId, targets: Sequence[TargetId], size: int
) -> list[TargetId]:
    """Return the ``size`` targets that rank highest for a gateway, sorted by id.

    Rendezvous hashing keeps the subset stable while targets come and go.
    """
    if len(targets) <= size:
        return sorted(targets)
    return sorted(rank_by_rendezvous(gateway, targets)[:size])


def _clamp_permits(permits: float, max_connections: int) -> int:
    return max(1, min(max_connections, math.ceil(permits)))

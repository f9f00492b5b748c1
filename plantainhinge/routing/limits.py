"""How many connections and places one gateway may use at each target.

The hard share rests on the configuration alone, so it holds whatever a gateway
believes of its peers: the sum over all gateways stays within a target's
connections as long as no more gateways run in a region than are declared. The
soft split rests on membership and load digests and decides efficiency only.
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
    """One gateway's part of the arrivals at a service.

    Parameters
    ----------
    own, total : float
        Arrivals a second at this gateway and at all live gateways.
    gateways : int
        Gateways believed live, this one included.
    """

    own: float
    total: float
    gateways: int

    @property
    def weight(self) -> float:
        """The part of the load that this gateway carries, in (0, 1]."""
        if self.total <= 0.0:
            return 1.0 / self.gateways
        return min(1.0, max(self.own / self.total, 0.5 / self.gateways))


PermitSplit = Callable[[int, int, LoadShare], int]
PERMIT_SPLITS: Registry[PermitSplit] = Registry("split of places")


def compute_max_connections(connections: int, gateways_max: int) -> int:
    """Return the connections that one gateway may hold at a target, idle or not.

    Parameters
    ----------
    connections : int
        What the target takes over all gateways.
    gateways_max : int
        Declared bound on gateways running at once, replaced ones included.
    """
    return connections // gateways_max


@PERMIT_SPLITS.register("fixed")
def split_fixed(slots: int, hard: int, load: LoadShare) -> int:
    """Return the hard share, whoever else is live."""
    return hard


@PERMIT_SPLITS.register("even")
def split_evenly(slots: int, hard: int, load: LoadShare) -> int:
    """Return an equal part of the places for each live gateway."""
    return _clamp_permits(slots * PERMITS_PER_SLOT / load.gateways, hard)


@PERMIT_SPLITS.register("load-weighted")
def split_by_load(slots: int, hard: int, load: LoadShare) -> int:
    """Return a part of the places that follows this gateway's part of the load."""
    return _clamp_permits(slots * PERMITS_PER_SLOT * load.weight, hard)


BatchSize = Callable[[int, float], int]
BATCH_SIZES: Registry[BatchSize] = Registry("number of batch places")


@BATCH_SIZES.register("all")
def reserve_nothing(slots: int, lookups: float) -> int:
    """Return all slots: batch may have them as well as lookups."""
    return slots


@BATCH_SIZES.register("half")
def reserve_half(slots: int, lookups: float) -> int:
    """Return half of a target's slots."""
    return max(1, slots // 2)


@BATCH_SIZES.register("follow-load")
def reserve_by_load(slots: int, lookups: float) -> int:
    """Return the slots that latency-critical requests leave, at least half.

    Parameters
    ----------
    lookups : float
        Slots of one target that latency-critical requests hold on average.
    """
    reserved = RESERVED_SLOTS + math.ceil(LOAD_HEADROOM_RATIO * lookups)
    return max(1, slots // 2, slots - reserved)


BatchSplit = Callable[[int, TargetId, ProcessId, frozenset[ProcessId]], int]
BATCH_SPLITS: Registry[BatchSplit] = Registry("split of batch places")


@BATCH_SPLITS.register("shared")
def allow_all_permits(
    permits: int, target: TargetId, me: ProcessId, live: frozenset[ProcessId]
) -> int:
    """Return all places, as if no other gateway sent batch."""
    return permits


@BATCH_SPLITS.register("rendezvous")
@lru_cache(maxsize=SPLIT_CACHE_ENTRIES)
def split_by_rendezvous(
    permits: int, target: TargetId, me: ProcessId, live: frozenset[ProcessId]
) -> int:
    """Return how many batch requests this gateway may have at a target.

    The places for batch are dealt out to the live gateways in the target's
    rendezvous order, so their sum stays below the slots when views agree.
    """
    ranked = rank_by_rendezvous(target, live | {me})
    return sum(1 for permit in range(permits) if ranked[permit % len(ranked)] == me)


def choose_subset(
    me: ProcessId, targets: Sequence[TargetId], size: int
) -> list[TargetId]:
    """Return the ``size`` targets that rank highest for a gateway."""
    if len(targets) <= size:
        return sorted(targets)
    return sorted(rank_by_rendezvous(me, targets)[:size])


def _clamp_permits(permits: float, hard: int) -> int:
    return max(1, min(hard, math.ceil(permits)))

"""Answers of a cell's owner to gateways that ask for the targets of a service.

A gateway that asks with a limit gets only a subset, so that the answers of a large
cell stay bounded.
"""

import zlib
from collections.abc import Iterable

from ..core.messages import QueryTargets, Target, TargetList
from .limits import choose_subset


def answer_target_query(targets: Iterable[Target], query: QueryTargets) -> TargetList:
    """Return the targets for a gateway, or none if its list is still current."""
    by_id = {t.target: t for t in targets if t.service == query.service}
    chosen = list(by_id)
    if query.limit:
        chosen = choose_subset(query.gateway, chosen, query.limit)
    listed = [by_id[name] for name in sorted(chosen)]
    version = _compute_version(listed)
    if version == query.seen:
        return TargetList(targets=[], version=version, unchanged=True)
    return TargetList(targets=listed, version=version)


def _compute_version(targets: Iterable[Target]) -> int:
    described = ";".join(f"{t.target},{t.address},{t.leaving}" for t in targets)
    # Never 0, which in a query means that the gateway has no list.
    return zlib.crc32(described.encode()) | 1

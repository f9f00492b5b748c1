"""Jobs that can never run, whatever ends on the site."""

from collections.abc import Iterable

from ..core.configuration import Configuration
from ..core.ids import DomainId, TeamId
from ..core.messages import Instance
from ..core.resources import Resources
from ..core.states import InstanceRole


def list_capacities(
    instances: Iterable[Instance], domains: Iterable[DomainId]
) -> frozenset[Resources] | None:
    """Return the distinct sizes of workers; None while a domain shows none.

    A domain that is missing from the list may hold the only workers that are
    large enough, so that nothing can be said without it.
    """
    missing = set(domains)
    capacities = set()
    for row in instances:
        if row.role is InstanceRole.WORKER:
            missing.discard(row.domain)
            capacities.add(row.capacity)
    return None if missing or not capacities else frozenset(capacities)


def explain_infeasible(
    need: Resources,
    team: TeamId,
    configuration: Configuration,
    capacities: frozenset[Resources] | None,
) -> str:
    """Return why a job can never run; empty if it can, or if that is not known."""
    declared = configuration.teams.get(team)
    if declared is None:
        return f"team {team!r} is unknown; valid: {sorted(configuration.teams)}"
    quota = declared.quota.to_resources()
    if not need.fits_within(quota):
        return f"it needs {need}, and the quota of team {team!r} is {quota}"
    if capacities is None or any(need.fits_within(size) for size in capacities):
        return ""
    sizes = sorted((c.millicores, c.memory_mib, c.accelerators) for c in capacities)
    return f"it needs {need}, and no worker is that large; largest: {sizes[-1]}"

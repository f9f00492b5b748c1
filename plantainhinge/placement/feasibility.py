"""Jobs that can never run, whatever ends on the site."""

from ..core.configuration import Configuration
from ..core.ids import TeamId
from ..core.resources import Resources


def explain_infeasible(
    need: Resources,
    team: TeamId,
    configuration: Configuration,
    capacities: frozenset[Resources] | None,
) -> str:
    """Return why a job can never run; empty if it can, or if that is not known.

    Parameters
    ----------
    capacities : frozenset of Resources or None
        The sizes of all workers; None while some are unknown.
    """
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

"""Detection of jobs that can never run, however much capacity becomes free."""

from ..core.configuration import Configuration
from ..core.ids import TeamId
from ..core.resources import Resources


def explain_infeasible(
    need: Resources,
    team: TeamId,
    configuration: Configuration,
    capacities: frozenset[Resources] | None,
) -> str:
    """Return why a job can never run, or an empty string if it may run.

    Parameters
    ----------
    capacities : frozenset of Resources or None
        Capacities of all workers; None while some are unknown, in which case
        the job isn't rejected for its size.
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

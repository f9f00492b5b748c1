"""Quotas: the most resources that a team may have assigned at once."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..core.configuration import Team
from ..core.ids import TeamId
from ..core.resources import Resources

NO_RESOURCES = Resources()


@dataclass
class QuotaUsage:
    """Resources of each team's attempts that are assigned and have not ended."""

    used: dict[TeamId, Resources] = field(default_factory=dict)

    def get(self, team: TeamId) -> Resources:
        """Return the resources that a team uses."""
        return self.used.get(team, NO_RESOURCES)

    def add(self, team: TeamId, need: Resources) -> None:
        """Add the resources of an attempt that was assigned."""
        self.used[team] = self.get(team) + need

    def subtract(self, team: TeamId, need: Resources) -> None:
        """Subtract the resources of an attempt that ended."""
        self.used[team] = self.get(team) - need

    def copy(self) -> "QuotaUsage":
        """Return a copy that a plan may modify."""
        return QuotaUsage(dict(self.used))


def list_quotas(teams: Mapping[TeamId, Team]) -> dict[TeamId, Resources]:
    """Return the quota of each team as resources."""
    return {name: team.quota.to_resources() for name, team in teams.items()}


def fits_quota(
    usage: QuotaUsage, quotas: Mapping[TeamId, Resources], team: TeamId, need: Resources
) -> bool:
    """Return whether the team may use ``need`` more; False for an unknown team."""
    quota = quotas.get(team)
    return quota is not None and (usage.get(team) + need).fits_within(quota)

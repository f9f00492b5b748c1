"""Quotas: the most resources that a team or workspace may have assigned at once."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from ..core.configuration import Team
from ..core.ids import TeamId
from ..core.resources import Resources

NO_RESOURCES = Resources()

Owner = TypeVar("Owner", bound=str)


@dataclass
class QuotaUsage(Generic[Owner]):
    """Resources of each owner's attempts that are assigned and have not ended."""

    used: dict[Owner, Resources] = field(default_factory=dict)

    def get(self, owner: Owner) -> Resources:
        """Return the resources that a team or workspace uses."""
        return self.used.get(owner, NO_RESOURCES)

    def add(self, owner: Owner, need: Resources) -> None:
        """Add the resources of an attempt that was assigned."""
        self.used[owner] = self.get(owner) + need

    def subtract(self, owner: Owner, need: Resources) -> None:
        """Subtract the resources of an attempt that ended."""
        self.used[owner] = self.get(owner) - need

    def copy(self) -> "QuotaUsage[Owner]":
        """Return a copy that a plan may modify."""
        return QuotaUsage(dict(self.used))


def list_quotas(teams: Mapping[TeamId, Team]) -> dict[TeamId, Resources]:
    """Return the quota of each team as resources."""
    return {name: team.quota.to_resources() for name, team in teams.items()}


def fits_quota(
    usage: QuotaUsage[Owner],
    quotas: Mapping[Owner, Resources],
    owner: Owner,
    need: Resources,
) -> bool:
    """Return whether an owner may use ``need`` more; False for an unknown one."""
    quota = quotas.get(owner)
    return quota is not None and (usage.get(owner) + need).fits_within(quota)

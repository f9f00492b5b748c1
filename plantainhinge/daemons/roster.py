"""The processes that may be members of the group, also while they are missing."""

from dataclasses import dataclass, field

from ..core.ids import MemberName, Seconds
from ..fleet.protocols import Group
from ..jobs.ownership import find_address

# for which a process that left the group may be about to join again
RETENTION_SECONDS = Seconds(60.0)
# a member that joined this long ago is listed, and has been seen by a look since
SETTLED_SECONDS = Seconds(5.0)


@dataclass
class Roster:
    """The newest process at each address; times are by ``read_uptime``.

    Parameters
    ----------
    changed_at : float
        When the group last changed.
    """

    changed_at: float = float("inf")
    _is_complete: bool = False
    _seen: dict[str, tuple[MemberName, float]] = field(default_factory=dict)

    def note(self, group: Group, *, now: float) -> None:
        """Note a list of the members."""
        self._is_complete = group.is_complete
        for member in group.members:
            self._seen[find_address(member) or member] = (member, now)

    def list_others(self, member: MemberName, *, now: float) -> list[MemberName]:
        """Return all other processes that could join; none if some may be unknown.

        Parameters
        ----------
        now : float
            When the group last answered.
        """
        if not self._is_complete or now - self.changed_at < SETTLED_SECONDS:
            return []
        return [
            other
            for other, seen_at in self._seen.values()
            if other != member and now - seen_at <= RETENTION_SECONDS
        ]

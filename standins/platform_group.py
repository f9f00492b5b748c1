"""Stand-in for a group of the platform's store, whose members hold partitions."""

from collections import Counter
from dataclasses import dataclass, field

Partition = tuple[str, int]


@dataclass
class StandInGroup:
    """Distributes partitions evenly among the members.

    Parameters
    ----------
    generation : int
        Number of changes so far.
    """

    generation: int = 0
    _ends: dict[str, float] = field(default_factory=dict)
    _targets: dict[Partition, str] = field(default_factory=dict)
    _holders: dict[Partition, str] = field(default_factory=dict)
    # generation in which the partition got its target
    _moved_in: dict[Partition, int] = field(default_factory=dict)

    def join(
        self,
        member: str,
        partitions: list[Partition],
        *,
        until: float,
        generation: int,
    ) -> list[Partition]:
        """Let a member join or stay, and return the partitions that it holds.

        Parameters
        ----------
        until : float
            Monotonic time in seconds at which the member is removed.
        generation : int
            The last one that the member knows of. It gives up what it was told to.
        """
        new = [part for part in partitions if part not in self._targets]
        self._targets |= dict.fromkeys(new, "")
        is_change = new or member not in self._ends
        self._ends[member] = until
        if is_change:
            self._distribute()
        for part, target in self._targets.items():
            holder = self._holders.get(part)
            is_given_up = holder == member and generation >= self._moved_in[part]
            if holder not in self._ends or is_given_up:
                self._holders[part] = target
        return [
            part
            for part, target in self._targets.items()
            if member == target == self._holders[part]
        ]

    def leave(self, member: str) -> None:
        """Remove a member, if it is one."""
        if self._ends.pop(member, None) is not None:
            self._distribute()

    def expire(self, now: float) -> None:
        """Remove the members whose time is over, in seconds of the monotonic clock."""
        for member in [member for member, end in self._ends.items() if end < now]:
            self.leave(member)

    def reassign_all(self) -> None:
        """Give each member the partitions of another at once, without any request."""
        members = list(self._ends)
        following = dict(zip(members, members[1:] + members[:1], strict=True))
        self.generation += 1
        for part, target in self._targets.items():
            if target:
                self._targets[part] = self._holders[part] = following[target]
                self._moved_in[part] = self.generation

    def list_held(self) -> list[tuple[Partition, str]]:
        """Return each partition that is held, with its member."""
        return [
            (part, holder)
            for part, holder in self._holders.items()
            if holder in self._ends
        ]

    def _distribute(self) -> None:
        """Move as few partitions as it takes until all members have equally many."""
        self.generation += 1
        loads = Counter(self._targets.values())
        members = sorted(self._ends, key=lambda member: -loads[member])
        shares = Counter(
            {
                member: len(self._targets) // len(members)
                + (index < len(self._targets) % len(members))
                for index, member in enumerate(members)
            }
        )
        moving = []
        for part, target in self._targets.items():
            if shares[target] > 0:
                shares[target] -= 1
            else:
                moving.append(part)
        for part, member in zip(moving, list(shares.elements()) or [""], strict=False):
            self._targets[part] = member
            self._moved_in[part] = self.generation
            if self._holders.get(part) not in self._ends:
                self._holders[part] = member

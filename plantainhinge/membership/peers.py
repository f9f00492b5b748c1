"""Which processes are believed alive, from the heartbeats they answered.

This is a hint for efficiency: no promise rests on it.
"""

from dataclasses import dataclass, field

from ..core.ids import ProcessId, Seconds, StreamName
from ..core.messages import Heartbeat
from ..core.states import DaemonRole

PEER_EXPIRY_SECONDS = 3.5


@dataclass
class PeerRow:
    """The newest heartbeat of a peer and when it was heard."""

    heartbeat: Heartbeat
    heard_at: Seconds


@dataclass
class PeerTable:
    """Peers by the address they answer at."""

    rows: dict[str, PeerRow] = field(default_factory=dict)

    def note(self, heartbeat: Heartbeat, now: Seconds) -> None:
        """Take in a heartbeat, unless a newer incarnation was heard."""
        known = self.rows.get(heartbeat.address)
        if known and known.heartbeat.incarnation > heartbeat.incarnation:
            return
        self.rows[heartbeat.address] = PeerRow(heartbeat, now)

    def list_live(self, now: Seconds) -> list[Heartbeat]:
        """Return the newest heartbeat of each peer heard of lately."""
        return [
            row.heartbeat
            for row in self.rows.values()
            if now < row.heard_at + PEER_EXPIRY_SECONDS
        ]

    def list_schedulers(self, now: Seconds) -> list[ProcessId]:
        """Return the live processes that may own streams."""
        return [
            heartbeat.process
            for heartbeat in self.list_live(now)
            if heartbeat.role is DaemonRole.SCHEDULER
        ]

    def find_owner(self, stream: StreamName, now: Seconds) -> Heartbeat | None:
        """Return the peer that claims the stream under the highest epoch."""
        owners = [h for h in self.list_live(now) if stream in h.owned]
        return max(owners, key=lambda h: h.owned[stream], default=None)

    def is_replaced(self, process: ProcessId, address: str) -> bool:
        """Return whether a later process of the same place answers at its address.

        A process holds its port until it has ended, also while it is paused, so a
        later one at the same address is proof of its end.
        """
        row = self.rows.get(address)
        if row is None:
            return False
        place, _, incarnation = process.rpartition("/")
        other, _, _ = row.heartbeat.process.rpartition("/")
        return other == place and row.heartbeat.incarnation > int(incarnation)

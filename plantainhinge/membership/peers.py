"""Gossip membership: which processes are believed to be alive.

In each round a process exchanges heartbeats with a few others and relays what it
heard, as in SWIM (Das, Gupta and Motivala, 2002): a process that does not answer is
suspected, the suspicion is relayed, and the suspect refutes it with a higher
incarnation. The cost for a process does not depend on the number of processes.

Membership is only a hint that makes the system efficient: no guarantee depends on it.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from ..core.ids import ProcessId, Revision, Seconds, StreamName
from ..core.messages import Heartbeat, RelayedHeartbeat
from ..core.states import DaemonRole, PeerState

SMALL_SITE_PEERS = 24
EXCHANGES_PER_ROUND = 1
EXCHANGES_PER_ROUND_WHEN_SMALL = 2
# while at most one peer is known
JOIN_EXCHANGES = 8
UPDATES_PER_HEARTBEAT = 3
RELAYS_PER_UPDATE = 3
SUSPICION_SECONDS = 3.0
# added for each doubling of the number of known peers
SUSPICION_SECONDS_PER_DOUBLING = 1.0
DEAD_RETENTION_SECONDS = 120.0


@dataclass
class PeerRow:
    """What this process knows about a peer.

    Parameters
    ----------
    heartbeat_at : Seconds
        When its newest heartbeat was received from the peer itself. For a relayed
        heartbeat it is computed from the age that the relaying process gave.
    changed_at : Seconds
        When its state last changed.
    relays_left : int
        How many more times this row is relayed as an update.
    relayed_at : Seconds
        When this row was last relayed.
    """

    heartbeat: Heartbeat
    heartbeat_at: Seconds
    state: PeerState = PeerState.ALIVE
    changed_at: Seconds = Seconds(0.0)
    relays_left: int = RELAYS_PER_UPDATE
    relayed_at: Seconds = Seconds(0.0)


@dataclass
class PeerTable:
    """Known peers, by the address at which they answer.

    Parameters
    ----------
    own_address : str
        Address of this process; empty if the table belongs to no process.
    incarnation : int
        Incarnation of this process; raised to refute a suspicion against it.
    """

    own_address: str = ""
    incarnation: int = 0
    rows: dict[str, PeerRow] = field(default_factory=dict)

    def record_heartbeat(self, heartbeat: Heartbeat, now: Seconds) -> None:
        """Merge a heartbeat received from its sender, and the heartbeats it relays."""
        self._merge(heartbeat, PeerState.ALIVE, now, now)
        for relay in heartbeat.relays:
            self._handle_relay(relay, now)

    def record_no_answer(self, address: str, now: Seconds) -> None:
        """Suspect a peer that did not answer."""
        row = self.rows.get(address)
        if row is not None and row.state is PeerState.ALIVE:
            _set_state(row, PeerState.SUSPECT, now)

    def expire(self, now: Seconds) -> None:
        """Declare peers dead after the suspicion timeout, and remove them later.

        Until then outdated relayed heartbeats can't make them alive again.
        """
        suspicion_seconds = self._get_suspicion_seconds()
        for address, row in list(self.rows.items()):
            if (
                row.state is PeerState.SUSPECT
                and now >= row.changed_at + suspicion_seconds
            ):
                _set_state(row, PeerState.DEAD, now)
            if (
                row.state is PeerState.DEAD
                and now >= row.changed_at + DEAD_RETENTION_SECONDS
            ):
                del self.rows[address]

    def choose_partners(
        self, listed: Iterable[str], draws: Iterable[float]
    ) -> list[str]:
        """Return the addresses to exchange heartbeats with in this round.

        Parameters
        ----------
        listed : iterable of str
            Addresses from the platform's instance list, which may contain dead
            processes and miss live ones.
        draws : iterable of float
            Random numbers, uniform in [0, 1). Each chooses one partner, so their
            number bounds how many are chosen.
        """
        known = {a for a, row in self.rows.items() if row.state is not PeerState.DEAD}
        candidates = sorted({*listed, *known} - {self.own_address})
        count = self._count_partners(len(known))
        chosen = []
        for draw, _ in zip(draws, range(count), strict=False):
            if candidates:
                chosen.append(candidates.pop(int(draw * len(candidates))))
        return chosen

    def choose_relays(
        self, partner: str, incarnation: int, now: Seconds
    ) -> list[RelayedHeartbeat]:
        """Return the heartbeats to relay in the next heartbeat to a partner.

        If this process suspects the partner or knows a higher incarnation of it, the
        partner's own row comes first, so that the partner can refute it. Updates
        follow, then one owner of streams and one other peer in turn.

        Parameters
        ----------
        incarnation : int
            The partner's incarnation as known to the caller.
        """
        rows = [
            *self._find_disputed(partner, incarnation),
            *self._choose_updates(partner),
        ]
        for row in rows:
            row.relays_left -= 1
        rows.extend(self._choose_round_robin(partner, rows))
        for row in rows:
            row.relayed_at = now
        return [_build_relay(row, now) for row in rows]

    def list_live(self, now: Seconds) -> list[Heartbeat]:
        """Return the newest heartbeat of each peer that is not declared dead."""
        return [
            row.heartbeat
            for row in self.rows.values()
            if row.state is not PeerState.DEAD
        ]

    def list_schedulers(self, now: Seconds) -> list[ProcessId]:
        """Return the schedulers, which can own streams, that are not suspected."""
        return [
            row.heartbeat.process
            for row in self.rows.values()
            if row.heartbeat.role is DaemonRole.SCHEDULER
            and row.state is PeerState.ALIVE
        ]

    def find_owner(self, stream: StreamName, now: Seconds) -> Heartbeat | None:
        """Return the live peer that owns the stream by the highest epoch, if any."""
        owners = [h for h in self.list_live(now) if stream in h.owned]
        return max(owners, key=lambda h: h.owned[stream], default=None)

    def _count_partners(self, known: int) -> int:
        if known <= 1:
            return JOIN_EXCHANGES
        if known <= SMALL_SITE_PEERS:
            return EXCHANGES_PER_ROUND_WHEN_SMALL
        return EXCHANGES_PER_ROUND

    def _find_disputed(self, partner: str, incarnation: int) -> list[PeerRow]:
        row = self.rows.get(partner)
        if row is None or partner == self.own_address:
            return []
        is_trusted = row.state is PeerState.ALIVE
        is_current = row.heartbeat.incarnation <= incarnation
        return [] if is_trusted and is_current else [row]

    def _choose_updates(self, partner: str) -> list[PeerRow]:
        updates = [
            row
            for address, row in self.rows.items()
            if row.relays_left > 0 and address not in (partner, self.own_address)
        ]
        updates.sort(key=lambda row: (row.state is PeerState.ALIVE, row.relayed_at))
        return updates[:UPDATES_PER_HEARTBEAT]

    def _choose_round_robin(self, partner: str, chosen: list[PeerRow]) -> list[PeerRow]:
        """Return the owner of streams and the peer that were relayed longest ago."""
        rows = [
            row
            for address, row in self.rows.items()
            if row not in chosen and address not in (partner, self.own_address)
        ]
        rows.sort(key=lambda row: row.relayed_at)
        owners = [row for row in rows if row.heartbeat.owned]
        oldest = [owners[0]] if owners else []
        oldest.extend(row for row in rows[:1] if row not in oldest)
        return oldest

    def is_replaced(self, process: ProcessId, address: str) -> bool:
        """Return whether a later process of the same instance and role has its address.

        A process holds its port until it has ended, even while it is paused, so a
        later process at the same address proves that it has ended. Processes are
        compared by the number in their id, because a process also raises its
        incarnation without ending, to refute a suspicion.
        """
        row = self.rows.get(address)
        if row is None:
            return False
        prefix, number = _split_process_id(process)
        other_prefix, other_number = _split_process_id(row.heartbeat.process)
        return other_prefix == prefix and other_number > number

    def find_newest_revision(self) -> Revision:
        """Return the newest configuration revision that any process has reported."""
        revisions = [row.heartbeat.revision for row in self.rows.values()]
        return max(revisions, default=Revision(0))

    def list_addresses_at_revision(self, revision: Revision) -> list[str]:
        """Return the addresses of live peers that run a revision or a newer one."""
        return [
            heartbeat.address
            for heartbeat in self.list_live(Seconds(0.0))
            if heartbeat.revision >= revision and heartbeat.address != self.own_address
        ]

    def _handle_relay(self, relay: RelayedHeartbeat, now: Seconds) -> None:
        heartbeat = relay.heartbeat
        if heartbeat.address == self.own_address:
            self._refute(relay)
            return
        sent_at = Seconds(now - max(0.0, relay.heartbeat_age))
        self._merge(heartbeat, relay.state, sent_at, now)

    def _refute(self, relay: RelayedHeartbeat) -> None:
        incarnation = relay.heartbeat.incarnation
        is_wrong = (
            relay.state is not PeerState.ALIVE and incarnation >= self.incarnation
        )
        if incarnation > self.incarnation or is_wrong:
            self.incarnation = incarnation + 1

    def _merge(
        self, heartbeat: Heartbeat, state: PeerState, sent_at: Seconds, now: Seconds
    ) -> None:
        row = self.rows.get(heartbeat.address)
        without_relays = msgspec.structs.replace(heartbeat, relays=[])
        if row is None:
            row = PeerRow(without_relays, sent_at, state, now)
            self.rows[heartbeat.address] = row
            return
        known = row.heartbeat
        if heartbeat.incarnation < known.incarnation:
            return
        if heartbeat.incarnation > known.incarnation:
            self.rows[heartbeat.address] = PeerRow(without_relays, sent_at, state, now)
            return
        if heartbeat.sequence > known.sequence:
            row.heartbeat = without_relays
            row.heartbeat_at = sent_at
            if _has_update(without_relays, known):
                row.relays_left = RELAYS_PER_UPDATE
        if state.rank > row.state.rank:
            _set_state(row, state, now)

    def _get_suspicion_seconds(self) -> float:
        doublings = math.log2(max(2, len(self.rows)))
        return SUSPICION_SECONDS + SUSPICION_SECONDS_PER_DOUBLING * doublings


def _split_process_id(process: ProcessId) -> tuple[str, int]:
    prefix, _, number = process.rpartition("/")
    return prefix, int(number)


def _set_state(row: PeerRow, state: PeerState, now: Seconds) -> None:
    row.state = state
    row.changed_at = now
    row.relays_left = RELAYS_PER_UPDATE


def _has_update(heartbeat: Heartbeat, known: Heartbeat) -> bool:
    return (
        heartbeat.owned != known.owned
        or heartbeat.revision != known.revision
        or heartbeat.ready != known.ready
    )


def _build_relay(row: PeerRow, now: Seconds) -> RelayedHeartbeat:
    return RelayedHeartbeat(
        heartbeat=row.heartbeat, state=row.state, heartbeat_age=now - row.heartbeat_at
    )

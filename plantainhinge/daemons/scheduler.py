"""The scheduler daemon: owns ledger partitions and cells."""

from collections.abc import Iterable

from ..adapters.peers_grpc import Call
from ..core.errors import NotOwnerError
from ..core.ids import DomainId, Epoch, ProcessId, Seconds, StreamName, WriterId
from ..core.messages import (
    Heartbeat,
    OfferAttempts,
    QueryTargets,
    ReportClosures,
)
from ..core.metrics import Level
from ..core.protocols import WorkerClient
from ..ledgers.cell import CellState
from ..ledgers.ledger import LedgerState
from ..streams.names import (
    find_partition,
    name_cell_stream,
    name_ledger_stream,
    rank_candidates,
    rank_cell_candidates,
)
from ..streams.replica import Replica
from .cell_owner import CellOwner
from .executor import TickCallback
from .ledger_owner import LedgerOwner
from .node import Node

CANDIDATES_PER_STREAM = 2
# before the first claims, to learn from heartbeats which other schedulers are live
CLAIM_DELAY_SECONDS = 2.0


class Scheduler:
    """Replays all streams, and owns or stands by for some of them."""

    def __init__(self, node: Node, workers: WorkerClient) -> None:
        self.node = node
        self.ledgers: dict[int, LedgerOwner] = {}
        self.cells: dict[DomainId, CellOwner] = {}
        self._workers = workers
        self._stopping = False
        self._claims_allowed_at: Seconds | None = None
        node.build_heartbeat = self.build_heartbeat

    def tick(self, callbacks: Iterable[TickCallback], now: Seconds) -> None:
        """Run the posted callbacks, then step the node and all streams."""
        for callback in callbacks:
            callback(now)
        self.node.step(now)
        if self.node.current_configuration is None:
            return
        self._add_new_streams()
        if self._claims_allowed_at is None:
            self._claims_allowed_at = Seconds(now + CLAIM_DELAY_SECONDS)
        live = self._list_live_schedulers(now)
        for owner in self._list_owners():
            owner.step(now, self._compute_rank(owner, live, now))

    def handle_call(self, call: Call, now: Seconds) -> None:
        """Answer a peer's call, or pass it to the owner of the stream it concerns."""
        if self.node.handle_call(call, now):
            return
        owner = self._find_owner(call)
        if owner is None:
            error = NotOwnerError("no such stream here", step="scheduler.call")
            call.response.set_exception(error)
        else:
            owner.handle_call(call, now)

    def stop(self) -> None:
        """Begin a planned stop: release all streams and claim no more."""
        self._stopping = True
        self.node.leaving = True
        for owner in self._list_owners():
            owner.release()

    def has_stopped(self) -> bool:
        """Return whether all streams are released and all callers were answered."""
        waiting = any(ledger.has_waiters() for ledger in self.ledgers.values())
        released = all(owner.has_released() for owner in self._list_owners())
        return released and not waiting

    def build_heartbeat(self) -> Heartbeat:
        """Return this process's heartbeat with the streams it owns."""
        base = self.node.build_base_heartbeat()
        owned: dict[StreamName, Epoch] = {}
        for owner in self._list_owners():
            if owner.state.ownership.owner == self.node.process:
                owned[owner.replica.stream] = owner.state.ownership.epoch
        owned_cells = [c for c in self.cells.values() if c.replica.stream in owned]
        digests = [cell.build_digest() for cell in owned_cells]
        leases = sum(len(cell.state.open_attempts) for cell in owned_cells)
        self.node.metrics.set(Level.LEASES, leases)
        return Heartbeat(
            process=base.process,
            incarnation=base.incarnation,
            role=base.role,
            address=base.address,
            domain=base.domain,
            revision=base.revision,
            ready=base.ready,
            owned=owned,
            cells=digests,
        )

    def _add_new_streams(self) -> None:
        configuration = self.node.current_configuration
        assert configuration is not None
        writer = WriterId(self.node.process)
        for partition in range(configuration.limits.ledger_partitions):
            if partition not in self.ledgers:
                ledger = Replica(
                    name_ledger_stream(partition), writer, LedgerState(partition)
                )
                self.ledgers[partition] = LedgerOwner(self.node, ledger)
        for domain in configuration.domains:
            if domain not in self.cells:
                cell = Replica(name_cell_stream(domain), writer, CellState(domain))
                self.cells[domain] = CellOwner(self.node, cell, self._workers)

    def _list_owners(self) -> list[LedgerOwner | CellOwner]:
        return [*self.ledgers.values(), *self.cells.values()]

    def _list_live_schedulers(self, now: Seconds) -> dict[ProcessId, DomainId]:
        names = self.node.peer_table.list_schedulers(now)
        domains = {h.process: h.domain for h in self.node.peer_table.list_live(now)}
        live = {name: domains[name] for name in names}
        live[self.node.process] = self.node.settings.domain
        return live

    def _compute_rank(
        self,
        owner: LedgerOwner | CellOwner,
        live: dict[ProcessId, DomainId],
        now: Seconds,
    ) -> int | None:
        if (
            self._stopping
            or self._claims_allowed_at is None
            or now < self._claims_allowed_at
        ):
            return None
        stream = owner.replica.stream
        if isinstance(owner, CellOwner):
            ranked = rank_cell_candidates(stream, live, owner.state.domain)
        else:
            ranked = rank_candidates(stream, list(live))
        rank = ranked.index(self.node.process)
        return rank if rank < CANDIDATES_PER_STREAM else None

    def _find_owner(self, call: Call) -> LedgerOwner | CellOwner | None:
        request = call.request
        if isinstance(request, OfferAttempts | QueryTargets):
            return self.cells.get(request.cell)
        if isinstance(request, ReportClosures):
            return self.ledgers.get(request.ledger)
        configuration = self.node.current_configuration
        if configuration is None:
            return None
        partitions = configuration.limits.ledger_partitions
        return self.ledgers.get(find_partition(request.team, partitions))

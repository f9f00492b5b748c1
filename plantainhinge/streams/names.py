"""Names of the streams in the platform's log."""

import hashlib
from collections.abc import Mapping

from ..core.ids import DomainId, ProcessId, StreamName, TeamId
from ..core.rendezvous import rank_by_rendezvous

CONFIGURATION = StreamName("config")


def name_cell_stream(domain: DomainId) -> StreamName:
    """Return the stream of the cell of one failure domain."""
    return StreamName(f"cell.{domain}")


def name_ledger_stream(partition: int) -> StreamName:
    """Return the stream of one ledger partition."""
    return StreamName(f"ledger.{partition}")


def name_snapshot_stream(stream: StreamName) -> StreamName:
    """Return the stream that holds the snapshots of another."""
    return StreamName(f"{stream}.snapshots")


def find_partition(team: TeamId, partitions: int) -> int:
    """Return the ledger partition that keeps a team's accounts."""
    digest = hashlib.blake2b(team.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % partitions


def rank_candidates(stream: StreamName, candidates: list[ProcessId]) -> list[ProcessId]:
    """Return the candidates for a stream's ownership, best first."""
    return rank_by_rendezvous(stream, candidates)


def rank_cell_candidates(
    stream: StreamName, candidates: Mapping[ProcessId, DomainId], domain: DomainId
) -> list[ProcessId]:
    """Return the candidates for a cell, those outside its failure domain first.

    An owner outside outlives the domain, so it knows when it last heard its
    workers and can close their attempts when the leases are over.
    """
    outside = [name for name, place in candidates.items() if place != domain]
    inside = [name for name, place in candidates.items() if place == domain]
    return [*rank_candidates(stream, outside), *rank_candidates(stream, inside)]

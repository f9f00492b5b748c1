"""Names of the streams in the platform's log, and ranking of candidate owners."""

import hashlib
from collections.abc import Mapping

from ..core.ids import DomainId, ProcessId, StreamName, TeamId
from ..core.rendezvous import rank_by_rendezvous

CONFIGURATION_STREAM = StreamName("config")


def name_cell_stream(domain: DomainId) -> StreamName:
    """Return the name of the stream of a failure domain's cell."""
    return StreamName(f"cell.{domain}")


def name_ledger_stream(partition: int) -> StreamName:
    """Return the name of the stream of a ledger partition."""
    return StreamName(f"ledger.{partition}")


def name_snapshot_stream(stream: StreamName) -> StreamName:
    """Return the name of the stream that holds the snapshots of ``stream``."""
    return StreamName(f"{stream}.snapshots")


def find_partition(team: TeamId, partitions: int) -> int:
    """Return the ledger partition that holds a team's tasks."""
    digest = hashlib.blake2b(team.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % partitions


def rank_candidates(stream: StreamName, candidates: list[ProcessId]) -> list[ProcessId]:
    """Rank the candidates for the ownership of a stream, most preferred first."""
    return rank_by_rendezvous(stream, candidates)


def rank_cell_candidates(
    stream: StreamName, candidates: Mapping[ProcessId, DomainId], domain: DomainId
) -> list[ProcessId]:
    """Rank the candidates for a cell, those outside its failure domain first.

    An owner outside the domain survives the domain's failure. It knows when it
    last heard from the workers, so it can close their attempts as soon as their
    leases expire.
    """
    outside = [name for name, location in candidates.items() if location != domain]
    inside = [name for name, location in candidates.items() if location == domain]
    return [*rank_candidates(stream, outside), *rank_candidates(stream, inside)]

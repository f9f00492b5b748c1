"""Shares of an instance's memory and file descriptors, by what they are for."""

from dataclasses import dataclass
from enum import Enum

from ..adapters.stream_http_limits import ServerLimits


class Listener(Enum):
    """What an instance listens for."""

    CALLERS = "callers"
    PROBES = "probes"
    PEERS = "peers"


@dataclass(frozen=True, kw_only=True)
class _Share:
    memory_ratio: float
    files_ratio: float


# a crowd at one listener takes nothing from the others; most of the memory is for jobs,
# most descriptors for workers and the log
SHARES = {
    Listener.CALLERS: _Share(memory_ratio=1 / 8, files_ratio=1 / 4),
    Listener.PROBES: _Share(memory_ratio=1 / 128, files_ratio=1 / 64),
    Listener.PEERS: _Share(memory_ratio=1 / 16, files_ratio=1 / 8),
}
CONNECTIONS_MIN = 8
# of the memory, for jobs that have been read and aren't in the log yet
SPEC_MEMORY_RATIO = 1 / 16
# of the memory, for the jobs of the cell, should the instance own it
JOB_MEMORY_RATIO = 0.4


def compute_limits(
    listener: Listener, *, memory_bytes: int, files: int
) -> ServerLimits:
    """Return what the clients of a listener may use together.

    Parameters
    ----------
    memory_bytes : int
        Memory of the process.
    files : int
        File descriptors of the process.
    """
    share = SHARES[listener]
    return ServerLimits(
        connections=max(CONNECTIONS_MIN, int(share.files_ratio * files)),
        received_bytes=int(share.memory_ratio * memory_bytes),
    )

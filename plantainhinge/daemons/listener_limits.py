"""Shares of an instance's memory that its listeners may use for requests."""

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


# a crowd at one listener takes nothing from the others; most of the memory is for jobs
SHARES = {
    Listener.CALLERS: _Share(memory_ratio=1 / 8),
    Listener.PROBES: _Share(memory_ratio=1 / 128),
    Listener.PEERS: _Share(memory_ratio=1 / 16),
}


def compute_limits(listener: Listener, *, memory_bytes: int) -> ServerLimits:
    """Return what the clients of a listener may use together.

    Parameters
    ----------
    memory_bytes : int
        Memory of the process.
    """
    share = SHARES[listener]
    return ServerLimits(received_bytes=int(share.memory_ratio * memory_bytes))

"""What operators ask for: queues, services and failure domains taken out."""

import msgspec

from ..core.ids import DomainId, Revision
from ..jobs.model import QueuePolicy


class QueueRoute(msgspec.Struct, frozen=True, kw_only=True):
    """Where callers reach a queue.

    Parameters
    ----------
    host, prefix : str
        Host name and beginning of the path.
    """

    host: str
    prefix: str
    policy: QueuePolicy


class SchedulingConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """The operators' configuration in force.

    Parameters
    ----------
    body_bytes_max : int
        Longest body that callers may send.
    """

    revision: Revision
    routes: tuple[QueueRoute, ...]
    body_bytes_max: int

    def find_route(self, host: str, path: str) -> QueueRoute | None:
        """Return the route with the longest prefix of ``path``, or None."""
        best: QueueRoute | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best


class DomainClosure(msgspec.Struct, frozen=True):
    """A failure domain takes no new work."""

    domain: DomainId


OperatorRecord = SchedulingConfiguration | DomainClosure

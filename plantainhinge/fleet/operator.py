"""Records written by operators: the scheduling configuration and closed domains."""

import msgspec

from ..core.ids import DomainId, Revision, ServiceId
from ..jobs.model import QueuePolicy


class QueueRoute(msgspec.Struct, frozen=True, kw_only=True):
    """Maps callers' requests for a host and path prefix to a queue.

    Parameters
    ----------
    host, prefix : str
        Host name and path prefix of the requests that go to the queue.
    """

    host: str
    prefix: str
    policy: QueuePolicy


class SchedulingConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """Scheduling configuration that operators have published.

    Parameters
    ----------
    body_bytes_max : int
        Maximum size in bytes of a request body from a caller.
    guarded_services : frozenset of ServiceId
        Services whose workers refuse what doesn't fit into their capacity.
    """

    revision: Revision
    routes: tuple[QueueRoute, ...]
    body_bytes_max: int
    guarded_services: frozenset[ServiceId] = frozenset()

    def find_route(self, host: str, path: str) -> QueueRoute | None:
        """Return the route of a request, or None if no route matches.

        Of several matching routes, the one with the longest prefix is returned.
        """
        best: QueueRoute | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best


class DomainClosure(msgspec.Struct, frozen=True):
    """Closure of a failure domain: no new attempts start in it."""

    domain: DomainId


OperatorRecord = SchedulingConfiguration | DomainClosure

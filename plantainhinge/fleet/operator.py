"""Records written by operators: the scheduling configuration and closed domains."""

import msgspec

from ..core.ids import DomainId, Revision, ServiceId, WorkspaceId
from ..core.packing import decode_record
from ..core.resources import Resources
from ..jobs.model import QueuePolicy

# unless the configuration says otherwise, and before there is one
BODY_BYTES_MAX = 262_144


class QueueRoute(msgspec.Struct, frozen=True, kw_only=True):
    """Maps callers' requests for a host and path prefix to a queue.

    Parameters
    ----------
    host, prefix : str
        Host name and path prefix of the requests that go to the queue.
    anonymous : bool
        Whether callers need no key.
    """

    host: str
    prefix: str
    policy: QueuePolicy
    anonymous: bool = False


class Workspace(msgspec.Struct, frozen=True, kw_only=True):
    """A workspace, which submits jobs under a cap and a weight of its own.

    Parameters
    ----------
    key_digests : tuple of bytes
        Digests of the keys with which its callers authenticate.
    weight : float
        Its share of the site when capacity is short, relative to other workspaces. It
        is also the rate in jobs per second up to which its jobs have that share.
    cap : Resources
        Resources that its attempts may take up on all workers together.
    """

    name: WorkspaceId
    key_digests: tuple[bytes, ...]
    weight: float
    cap: Resources


class SchedulingConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """Scheduling configuration that operators have published.

    Parameters
    ----------
    body_bytes_max : int
        Maximum size in bytes of a request body from a caller.
    guarded_services : frozenset of ServiceId
        Services whose workers refuse what doesn't fit into their capacity.
    workspaces : tuple of Workspace, optional
        None if the site has no workspaces: then callers need no keys.
    """

    revision: Revision
    routes: tuple[QueueRoute, ...]
    body_bytes_max: int
    guarded_services: frozenset[ServiceId] = frozenset()
    workspaces: tuple[Workspace, ...] | None = None

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


def encode_configuration(configuration: SchedulingConfiguration) -> bytes:
    """Return a configuration as it is sent to another instance."""
    return msgspec.msgpack.encode(configuration)


def decode_configuration(value: bytes) -> SchedulingConfiguration:
    """Decode a configuration that another instance has sent.

    Raises
    ------
    CorruptRecordError
        If the value is not an encoded configuration.
    """
    return decode_record(value, SchedulingConfiguration, step="configuration.decode")

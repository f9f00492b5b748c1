"""An instance's local replica of the records that operators write."""

import logging
from collections.abc import Callable

from ..core.ids import DomainId, ServiceId, WorkspaceId
from ..core.log_events import write_event
from ..fleet.credentials import Credentials
from ..fleet.operator import (
    DomainClosure,
    OperatorRecord,
    SchedulingConfiguration,
    Workspace,
)
from ..fleet.protocols import Entry, KeyedLog
from .tail import Tail
from .view_events import ConfigurationInForce, DomainClosed, DomainOpened

logger = logging.getLogger(__name__)

Decode = Callable[[str, bytes], OperatorRecord | None]


class OperatorView:
    """The configuration in force and the closed failure domains.

    Parameters
    ----------
    decode : callable
        Decodes a record from its key and value; None if it has to be ignored.

    Attributes
    ----------
    credentials : Credentials
        The keys of the configuration in force.
    workspaces : dict of WorkspaceId to Workspace
        Its workspaces by name.
    """

    def __init__(self, log: KeyedLog, topic: str, decode: Decode) -> None:
        self.configuration: SchedulingConfiguration | None = None
        self.credentials = Credentials(())
        self.workspaces: dict[WorkspaceId, Workspace] = {}
        self._confirmed_by_peer = float("-inf")
        self._closures: dict[str, DomainId] = {}
        self._decode = decode
        self.tail = Tail(log, topic, self._apply, self._closures.clear)

    @property
    def closed_domains(self) -> frozenset[DomainId]:
        """Return the failure domains in which nothing new starts."""
        return frozenset(self._closures.values())

    @property
    def guarded_services(self) -> frozenset[ServiceId]:
        """Return the services whose workers refuse what doesn't fit."""
        if self.configuration is None:
            return frozenset()
        return self.configuration.guarded_services

    @property
    def confirmed_at(self) -> float:
        """Return since when at the latest the configuration can have been outdated.

        In monotonic seconds: the log, or a peer that reads it, had no newer one then.
        """
        return max(self.tail.synced_at, self._confirmed_by_peer)

    def adopt(
        self, configuration: SchedulingConfiguration | None, *, confirmed_at: float
    ) -> None:
        """Apply the answer of a peer that reads the log.

        Parameters
        ----------
        configuration : SchedulingConfiguration, optional
            The peer's configuration; None if the one in force here is as new.
        confirmed_at : float
            Monotonic seconds at which the log confirmed it to the peer.
        """
        if configuration is not None:
            self._apply_configuration(configuration)
        self._confirmed_by_peer = max(self._confirmed_by_peer, confirmed_at)

    def _apply(self, entry: Entry) -> None:
        if not entry.value:
            domain = self._closures.pop(entry.key, None)
            if domain is not None:
                write_event(logger, DomainOpened(opened_domain=domain))
            return
        record = self._decode(entry.key, entry.value)
        match record:
            case DomainClosure():
                self._closures[entry.key] = record.domain
                write_event(logger, DomainClosed(closed_domain=record.domain))
            case SchedulingConfiguration():
                self._apply_configuration(record)

    def _apply_configuration(self, record: SchedulingConfiguration) -> None:
        current = self.configuration
        if current is not None and record.revision <= current.revision:
            return
        self.configuration = record
        workspaces = record.workspaces or ()
        self.credentials = Credentials(workspaces)
        self.workspaces = {each.name: each for each in workspaces}
        event = ConfigurationInForce(
            revision=record.revision,
            queues=len(record.routes),
            workspaces=len(workspaces),
        )
        write_event(logger, event)

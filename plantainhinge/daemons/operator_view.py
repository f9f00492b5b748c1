"""An instance's local replica of the records that operators write."""

import logging
from collections.abc import Callable

from ..core.ids import DomainId, ServiceId
from ..core.log_events import write_event
from ..fleet.operator import DomainClosure, OperatorRecord, SchedulingConfiguration
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
    """

    def __init__(self, log: KeyedLog, topic: str, decode: Decode) -> None:
        self.configuration: SchedulingConfiguration | None = None
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
        event = ConfigurationInForce(
            revision=record.revision, queues=len(record.routes)
        )
        write_event(logger, event)

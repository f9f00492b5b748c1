"""Replayed state of the configuration stream: the newest accepted revision."""

from dataclasses import dataclass

import msgspec

from ..core.configuration import Configuration, parse_configuration
from ..core.errors import BadInputError
from ..core.ids import Epoch, Offset, Revision, Seconds
from ..core.records import AnyRecord, ConfigurationPublished

NO_REVISION = Revision(0)


class _Dump(msgspec.Struct, array_like=True):
    revision: int
    document: str


@dataclass
class ConfigurationState:
    """The configuration in force; a revision is its offset plus one."""

    revision: Revision = NO_REVISION
    document: str = ""
    configuration: Configuration | None = None

    def apply(
        self, record: AnyRecord, *, epoch: Epoch, offset: Offset, now: Seconds
    ) -> str | None:
        """Accept a publication only if it was made from the newest revision."""
        if not isinstance(record, ConfigurationPublished):
            return "not a configuration"
        if record.based_on != self.revision:
            return f"made from revision {record.based_on}, newest is {self.revision}"
        try:
            configuration = parse_configuration(record.document)
        except BadInputError as error:
            return error.message
        self.revision = Revision(offset + 1)
        self.document = record.document
        self.configuration = configuration
        return None

    def dump(self) -> bytes:
        """Return the revision and its document."""
        return msgspec.msgpack.encode(_Dump(self.revision, self.document))

    def restore(self, state: bytes, now: Seconds) -> None:
        """Take over the revision of a snapshot."""
        dump = msgspec.msgpack.decode(state, type=_Dump)
        self.revision = Revision(dump.revision)
        self.document = dump.document
        self.configuration = parse_configuration(dump.document)

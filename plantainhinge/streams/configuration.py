"""State of the configuration stream: the newest accepted revision."""

from dataclasses import dataclass, field

import msgspec

from ..core.configuration import Configuration
from ..core.documents import (
    decode_configuration,
    encode_configuration,
    parse_configuration,
)
from ..core.errors import BadInputError, UnknownVersionError
from ..core.ids import Epoch, Offset, Revision, Seconds
from ..core.records import AnyRecord, ConfigurationPublished

NO_REVISION = Revision(0)


class _Dump(msgspec.Struct, array_like=True):
    revision: int
    document: str
    operator: str
    running: int
    encoded: bytes


@dataclass
class ConfigurationState:
    """The newest accepted configuration; a revision is its offset plus one.

    A configuration of a newer format version is accepted but can't be used by this
    release, which keeps running the newest one that it supports.

    Parameters
    ----------
    revision : Revision
        The newest accepted one; the next publication must be based on it.
    document, operator : str
        Text of ``revision``, and who published it.
    configuration : Configuration or None
        The newest one that this release supports.
    running_revision : Revision
        The revision of ``configuration``.
    unsupported_reason : str
        Why ``revision`` can't be used by this release; empty if it can.
    """

    revision: Revision = NO_REVISION
    document: str = ""
    operator: str = ""
    configuration: Configuration | None = None
    running_revision: Revision = NO_REVISION
    unsupported_reason: str = ""

    def apply(
        self, record: AnyRecord, *, epoch: Epoch, offset: Offset, now: Seconds
    ) -> str | None:
        """Accept a publication if it is valid and based on the newest revision."""
        if not isinstance(record, ConfigurationPublished):
            return "not a configuration"
        if record.based_on != self.revision:
            return f"made from revision {record.based_on}, newest is {self.revision}"
        try:
            configuration = _decode(record)
        except UnknownVersionError as error:
            self.unsupported_reason = error.message
        except BadInputError as error:
            return error.message
        else:
            self._activate(configuration, Revision(offset + 1))
        self.revision = Revision(offset + 1)
        self.document = record.document
        self.operator = record.operator
        return None

    def dump(self) -> bytes:
        """Encode the newest revision and the running configuration for a snapshot."""
        encoded = b""
        if self.configuration is not None:
            encoded = encode_configuration(self.configuration)
        dump = _Dump(
            self.revision, self.document, self.operator, self.running_revision, encoded
        )
        return msgspec.msgpack.encode(dump)

    def restore(self, state: bytes, now: Seconds) -> None:
        """Replace the state with that of a snapshot."""
        dump = msgspec.msgpack.decode(state, type=_Dump)
        if dump.encoded:
            self._activate(decode_configuration(dump.encoded), Revision(dump.running))
        if dump.running != dump.revision:
            self._activate_newest(dump)
        self.revision = Revision(dump.revision)
        self.document = dump.document
        self.operator = dump.operator

    def _activate(self, configuration: Configuration, revision: Revision) -> None:
        self.configuration = configuration
        self.running_revision = revision
        self.unsupported_reason = ""

    def _activate_newest(self, dump: _Dump) -> None:
        """Activate the newest revision, which the snapshot's writer didn't support."""
        try:
            self._activate(parse_configuration(dump.document), Revision(dump.revision))
        except (BadInputError, UnknownVersionError) as error:
            self.unsupported_reason = error.message


@dataclass
class ConfigurationHistory(ConfigurationState):
    """Configuration state that also keeps the documents of earlier revisions.

    Revisions that have been trimmed from the log are missing.
    """

    documents: dict[Revision, str] = field(default_factory=dict)

    def apply(
        self, record: AnyRecord, *, epoch: Epoch, offset: Offset, now: Seconds
    ) -> str | None:
        """Apply a publication and keep its document."""
        rejection = super().apply(record, epoch=epoch, offset=offset, now=now)
        self.documents[self.revision] = self.document
        return rejection

    def restore(self, state: bytes, now: Seconds) -> None:
        """Restore a snapshot and keep its document."""
        super().restore(state, now)
        self.documents[self.revision] = self.document


def _decode(record: ConfigurationPublished) -> Configuration:
    if record.encoded:
        return decode_configuration(record.encoded)
    return parse_configuration(record.document)

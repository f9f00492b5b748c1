"""Replayed state of the configuration stream: the newest accepted revision."""

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
    checked: bytes


@dataclass
class ConfigurationState:
    """The newest accepted configuration; a revision is its offset plus one.

    Parameters
    ----------
    revision : Revision
        The newest that was accepted, and the one the next is made from.
    document, operator : str
        Its text, and who published it.
    configuration : Configuration or None
        The newest one that this release understands.
    running_revision : Revision
        The revision of ``configuration``.
    unsupported_reason : str
        Why ``revision`` cannot run here; empty if it does.
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
        """Accept a publication only if it was made from the newest revision."""
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
        """Return the newest revision, and the one that runs if it is another."""
        checked = b""
        if self.configuration is not None:
            checked = encode_configuration(self.configuration)
        dump = _Dump(
            self.revision, self.document, self.operator, self.running_revision, checked
        )
        return msgspec.msgpack.encode(dump)

    def restore(self, state: bytes, now: Seconds) -> None:
        """Take over the revisions of a snapshot."""
        dump = msgspec.msgpack.decode(state, type=_Dump)
        if dump.checked:
            self._activate(decode_configuration(dump.checked), Revision(dump.running))
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
        """Read a document that the snapshot's writer did not understand."""
        try:
            self._activate(parse_configuration(dump.document), Revision(dump.revision))
        except (BadInputError, UnknownVersionError) as error:
            self.unsupported_reason = error.message


@dataclass
class ConfigurationHistory(ConfigurationState):
    """Also keeps every accepted document that the log still holds."""

    documents: dict[Revision, str] = field(default_factory=dict)

    def apply(
        self, record: AnyRecord, *, epoch: Epoch, offset: Offset, now: Seconds
    ) -> str | None:
        """Accept a publication and remember its document."""
        rejection = super().apply(record, epoch=epoch, offset=offset, now=now)
        self.documents[self.revision] = self.document
        return rejection

    def restore(self, state: bytes, now: Seconds) -> None:
        """Take over a snapshot and remember its document."""
        super().restore(state, now)
        self.documents[self.revision] = self.document


def _decode(record: ConfigurationPublished) -> Configuration:
    if record.checked:
        return decode_configuration(record.checked)
    return parse_configuration(record.document)

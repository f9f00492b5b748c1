"""Records of the log in MessagePack, read back with an error that names them."""

from typing import TypeVar

import msgspec

from .errors import CorruptRecordError

T = TypeVar("T")


def decode_record(value: bytes, type_: type[T], *, step: str) -> T:
    """Return the record of a type in a value of the log.

    Raises
    ------
    CorruptRecordError
        If it isn't one.
    """
    try:
        return msgspec.msgpack.decode(value, type=type_)
    except msgspec.MsgspecError as error:
        raise CorruptRecordError(str(error), step=step) from error

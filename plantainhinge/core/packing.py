"""Decoding of single records in MessagePack, with the package's own errors."""

from typing import TypeVar

import msgspec

from .errors import CorruptRecordError

T = TypeVar("T")

# what decoding raises for malformed bytes; RecursionError for deeply nested ones
DECODING_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


def decode_record(value: bytes, type_: type[T], *, step: str) -> T:
    """Decode a record of a given type.

    Raises
    ------
    CorruptRecordError
        If the bytes are not a record of this type.
    """
    try:
        return msgspec.msgpack.decode(value, type=type_)
    except DECODING_ERRORS as error:
        raise CorruptRecordError(str(error), step=step) from error

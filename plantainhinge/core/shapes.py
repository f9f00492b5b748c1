"""Checks of whole documents: every fault at once, each with its path."""

import typing
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

import json5
import msgspec

from .errors import BadInputError

T = typing.TypeVar("T")

SEEN_CHARACTERS = 60
DOCUMENT_BYTES_MAX = 4 * 1024 * 1024


@dataclass(frozen=True)
class Fault:
    """One thing that is wrong in a document.

    Parameters
    ----------
    path : str
        Names joined by dots, such as ``ports.callers``.
    seen : str
        The value at ``path``; empty if there is none.
    expected : str
        The valid values.
    """

    path: str
    seen: str
    expected: str

    def __str__(self) -> str:
        seen = f"{self.seen} is wrong; " if self.seen else "missing; "
        return f"{self.path}: {seen}valid: {self.expected}"


def parse_document(text: str, model: type[T], *, step: str, source: str) -> T:
    """Return the checked structure in JSON text with comments.

    Raises
    ------
    BadInputError
        If the text is no JSON, or with every fault in it.
    """
    document = parse_json(text, step=step, source=source)
    return convert_document(document, model, step=step, source=source)


def parse_json(text: str, *, step: str, source: str) -> Any:
    """Return what JSON text with comments holds.

    Raises
    ------
    BadInputError
        With line and column of the first fault.
    """
    if len(text) > DOCUMENT_BYTES_MAX:
        raise BadInputError(
            f"{len(text)} characters are too many; valid: up to {DOCUMENT_BYTES_MAX}",
            step=step,
            peer=source,
        )
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        message = str(error) or type(error).__name__
        raise BadInputError(message, step=step, peer=source) from error


def convert_document(
    document: Any,
    model: type[T],
    *,
    step: str,
    source: str,
    faults: Iterable[Fault] = (),
) -> T:
    """Return a document as a checked structure.

    Parameters
    ----------
    faults : iterable of Fault
        What other checks of the document found, to be told with the rest.

    Raises
    ------
    BadInputError
        With every fault in it.
    """
    found = [*find_shape_faults(document, model), *faults]
    if found:
        raise_faults([str(fault) for fault in found], step=step, source=source)
    try:
        return msgspec.convert(document, model)
    except msgspec.ValidationError as error:
        raise BadInputError(str(error), step=step, peer=source) from error


def raise_faults(faults: list[str], *, step: str, source: str) -> typing.NoReturn:
    """Raise one error that lists all faults, one a line."""
    raise BadInputError("\n  ".join(["", *faults]).strip(), step=step, peer=source)


def find_shape_faults(value: Any, model: Any, path: str = "") -> Iterator[Fault]:
    """Give every place where a value does not fit its declared type."""
    if isinstance(model, type) and issubclass(model, msgspec.Struct):
        yield from _check_struct(value, model, path)
    elif typing.get_origin(model) is dict:
        yield from _check_mapping(value, typing.get_args(model)[1], path)
    elif not _converts(value, model):
        yield Fault(path or "document", repr_short(value), describe_type(model))


def describe_type(model: Any) -> str:
    """Return the valid values of a type in words."""
    return _describe(msgspec.inspect.type_info(model))


def repr_short(value: Any) -> str:
    """Return a value's notation, cut to a readable length."""
    text = repr(value)
    return text if len(text) <= SEEN_CHARACTERS else text[:SEEN_CHARACTERS] + "..."


def _check_struct(
    value: Any, model: type[msgspec.Struct], path: str
) -> Iterator[Fault]:
    if not isinstance(value, dict):
        yield Fault(path or "document", repr_short(value), "an object")
        return
    hints = typing.get_type_hints(model, include_extras=True)
    names = sorted(field.encode_name for field in msgspec.structs.fields(model))
    for name in value:
        if name not in names:
            yield Fault(_join(path, str(name)), "the name", f"{names}")
    for field in msgspec.structs.fields(model):
        where = _join(path, field.encode_name)
        if field.encode_name in value:
            found = value[field.encode_name]
            yield from find_shape_faults(found, hints[field.name], where)
        elif field.required:
            yield Fault(where, "", describe_type(hints[field.name]))


def _check_mapping(value: Any, model: Any, path: str) -> Iterator[Fault]:
    if not isinstance(value, dict):
        yield Fault(path, repr_short(value), "an object")
        return
    for name, found in value.items():
        yield from find_shape_faults(found, model, _join(path, str(name)))


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _converts(value: Any, model: Any) -> bool:
    try:
        msgspec.convert(value, model)
    except msgspec.ValidationError:
        return False
    return True


def _describe(info: msgspec.inspect.Type) -> str:
    match info:
        case msgspec.inspect.UnionType(types=types):
            return " or ".join(_describe(part) for part in types)
        case msgspec.inspect.EnumType(cls=enum):
            return _list_members(enum)
        case msgspec.inspect.IntType():
            return "a whole number" + _describe_bounds(info)
        case msgspec.inspect.FloatType():
            return "a number" + _describe_bounds(info)
        case msgspec.inspect.StrType(min_length=shortest) if shortest:
            return "text that is not empty"
    return _WORDS.get(type(info), "an object")


def _list_members(enum: type[Enum]) -> str:
    return "one of " + ", ".join(repr(member.value) for member in enum)


def _describe_bounds(
    info: msgspec.inspect.IntType | msgspec.inspect.FloatType,
) -> str:
    bounds = [
        f" {words} {bound}"
        for words, bound in (
            ("above", info.gt),
            ("from", info.ge),
            ("below", info.lt),
            ("up to", info.le),
        )
        if bound is not None
    ]
    return "".join(bounds)


_WORDS: dict[type, str] = {
    msgspec.inspect.StrType: "text",
    msgspec.inspect.BoolType: "true or false",
    msgspec.inspect.NoneType: "null",
    msgspec.inspect.ListType: "a list",
    msgspec.inspect.DictType: "an object",
}

"""Validation of documents against msgspec types, reporting every fault.

msgspec stops at the first error; operators get all of them at once, each with the
path, the invalid value and the valid ones.
"""

import re
from collections.abc import Iterable, Iterator
from enum import Enum
from typing import Any, get_args, get_origin

import json5
import msgspec

from .errors import BadInputError

DOCUMENT_CHARACTERS_MAX = 4 * 1024 * 1024
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}")


class Fault(msgspec.Struct, frozen=True):
    """A validation error at one place of a document.

    Parameters
    ----------
    path : str
        Keys from the root, joined by dots; empty for the root.
    """

    path: str
    problem: str

    def __str__(self) -> str:
        return f"{self.path or 'document'}: {self.problem}"


class DocumentObject(dict[str, Any]):
    """A JSON object that keeps a list of its duplicate keys."""

    def __init__(self, pairs: Iterable[tuple[str, Any]]) -> None:
        items = list(pairs)
        super().__init__(items)
        keys = [key for key, _ in items]
        self.duplicate_keys = sorted({key for key in keys if keys.count(key) > 1})


def parse_json(text: str, *, step: str, source: str) -> object:
    """Parse JSON with comments.

    Raises
    ------
    BadInputError
        If the text is not valid JSON, with line and column, or if it is too long or
        nested too deeply.
    """
    if len(text) > DOCUMENT_CHARACTERS_MAX:
        raise BadInputError(
            f"has {len(text)} characters; valid: up to {DOCUMENT_CHARACTERS_MAX}",
            step=step,
            peer=source,
        )
    try:
        return json5.loads(text, object_pairs_hook=DocumentObject)
    except ValueError as error:
        location = str(error).removeprefix("<string>:")
        raise BadInputError(f"line {location}", step=step, peer=source) from error
    except RecursionError as error:
        raise BadInputError("nested too deeply", step=step, peer=source) from error


def make_fault_error(faults: list[Fault], *, step: str, source: str) -> BadInputError:
    """Return one error that lists all faults, one per line."""
    lines = "\n".join(f"  {fault}" for fault in faults)
    count = f"{len(faults)} fault{'s' if len(faults) > 1 else ''}"
    return BadInputError(f"{count}:\n{lines}", step=step, peer=source)


def find_type_faults(value: object, type_: Any, path: str = "") -> Iterator[Fault]:
    """Yield a fault for every place where a document does not match a type.

    Parameters
    ----------
    type_ : type
        A struct, a mapping from names to structs, or the type of a scalar.
    """
    if isinstance(value, DocumentObject):
        for key in value.duplicate_keys:
            yield Fault(_join(path, key), "is given more than once")
    if _is_struct(type_):
        yield from _check_struct(value, type_, path)
    elif get_origin(type_) is dict:
        yield from _check_mapping(value, type_, path)
    else:
        yield from _check_value(value, type_, path)


def describe_unknown(value: str, valid: list[str]) -> str:
    """Return the problem text for a reference to an unknown name."""
    return f"{value!r} is unknown; valid: {valid}"


def _check_struct(value: object, type_: Any, path: str) -> Iterator[Fault]:
    if not isinstance(value, dict):
        yield Fault(path, f"{value!r} is not an object")
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(type_)}
    for key in value:
        if key not in fields:
            yield Fault(_join(path, key), f"is unknown; valid: {sorted(fields)}")
    for key, field in fields.items():
        if key in value:
            yield from find_type_faults(value[key], field.type, _join(path, key))
        elif field.required:
            yield Fault(_join(path, key), "is missing")


def _check_mapping(value: object, type_: Any, path: str) -> Iterator[Fault]:
    if not isinstance(value, dict):
        yield Fault(path, f"{value!r} is not an object")
        return
    for key, item in value.items():
        item_path = _join(path, key)
        if not NAME.fullmatch(key):
            yield Fault(
                item_path, f"{key!r} is not a valid name; valid: {NAME.pattern}"
            )
        yield from find_type_faults(item, get_args(type_)[1], item_path)


def _check_value(value: object, type_: Any, path: str) -> Iterator[Fault]:
    try:
        msgspec.convert(value, type_)
    except msgspec.ValidationError as error:
        valid = f"; valid: {_list_values(type_)}" if _is_enum(type_) else ""
        yield Fault(path, f"{value!r} is wrong: {error}{valid}")


def _is_struct(type_: Any) -> bool:
    return isinstance(type_, type) and issubclass(type_, msgspec.Struct)


def _is_enum(type_: Any) -> bool:
    return isinstance(type_, type) and issubclass(type_, Enum)


def _list_values(enum: type[Enum]) -> list[str]:
    return [member.value for member in enum]


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key

"""Descriptions of types and fields for the generated pages."""

import inspect
import re
from enum import Enum
from typing import Any

import msgspec

PARAMETER = re.compile(r"^(?P<names>[a-z_, ]+) : .+$")


def describe_type(model: Any) -> str:
    """Describe the valid values of a type in words."""
    return _describe(msgspec.inspect.type_info(model))


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
        case msgspec.inspect.StrType(min_length=min_length) if min_length:
            return "text that is not empty"
    return _TYPE_NAMES.get(type(info), "an object")


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


_TYPE_NAMES: dict[type, str] = {
    msgspec.inspect.StrType: "text",
    msgspec.inspect.BoolType: "true or false",
    msgspec.inspect.NoneType: "null",
    msgspec.inspect.ListType: "a list",
    msgspec.inspect.DictType: "an object",
}


def read_descriptions(model: type[msgspec.Struct]) -> dict[str, str]:
    """Return the description of each field of a class and its bases.

    Descriptions are read from numpydoc ``Parameters`` sections; a subclass overrides
    those of its bases.
    """
    texts: dict[str, str] = {}
    for base in reversed(model.__mro__):
        if issubclass(base, msgspec.Struct):
            texts.update(_read_parameters(base))
    return texts


def _read_parameters(model: type[msgspec.Struct]) -> dict[str, str]:
    texts: dict[str, str] = {}
    names: list[str] = []
    for line in inspect.cleandoc(model.__doc__ or "").splitlines():
        found = PARAMETER.match(line)
        if found:
            names = [name.strip() for name in found["names"].split(",")]
        elif line.startswith("    "):
            for name in names:
                texts[name] = f"{texts.get(name, '')} {line.strip()}".strip()
    return texts

"""Generates the reference of a daemon's settings from their structs."""

import typing
from collections.abc import Iterator
from pathlib import Path

import msgspec

from plantainhinge.cli.arguments import name_variable
from plantainhinge.core.settings import OVERRIDES, Settings

from .descriptions import describe_type, read_descriptions

PAGE = Path(__file__).parent.parent / "docs" / "operators" / "settings.md"
HEADER = """# Settings of a daemon

A daemon reads one JSON file with comments, which both daemons of an instance
share. It is checked whole before anything else happens: every fault is told at
once, with its path, the value seen and the valid ones, and the exit code is 2.
`plantainhinge gateway --check-settings --settings FILE` only checks.

This page is written by `make docs` from the checked structures.

| name | valid | default | what it is |
| --- | --- | --- | --- |
"""
OVERRIDES_HEADER = """
## What goes before the file

A flag goes before the environment, and the environment before the file.

| name | flag | environment |
| --- | --- | --- |
"""


def build_page() -> str:
    """Return the page as Markdown."""
    rows = "".join(f"| {' | '.join(row)} |\n" for row in _list_rows(Settings, ""))
    overrides = "".join(
        f"| `{'.'.join(keys)}` | `--{name}` | `{name_variable(name)}` |\n"
        for name, keys in OVERRIDES.items()
    )
    return HEADER + rows + OVERRIDES_HEADER + overrides


def _list_rows(model: type[msgspec.Struct], path: str) -> Iterator[list[str]]:
    hints = typing.get_type_hints(model, include_extras=True)
    texts = read_descriptions(model)
    for field in msgspec.structs.fields(model):
        name = f"{path}{field.encode_name}"
        hint = hints[field.name]
        if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
            yield from _list_rows(hint, f"{name}.")
            continue
        default = "required" if field.required else f"`{field.default!r}`"
        default = default.replace("'", '"')
        text = texts[field.name].replace("``", "`")
        yield [f"`{name}`", describe_type(hint), default, text]


def main() -> None:
    """Write the page to ``docs/``."""
    PAGE.write_text(build_page(), encoding="utf-8")


if __name__ == "__main__":
    main()

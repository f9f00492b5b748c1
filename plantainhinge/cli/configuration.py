"""The commands that check and change the configuration."""

import argparse
import getpass
import uuid
from pathlib import Path

import msgspec

from ..adapters.log_http import HttpLog
from ..core.documents import parse_configuration
from ..core.ids import WriterId
from ..core.settings import read_text
from .apply import Applied, ConfigurationSession, apply_configuration
from .arguments import add_settings, read_settings
from .registry import command


class CorrectFile(msgspec.Struct, frozen=True):
    """A configuration file that passed every check."""

    file: str

    def format_text(self) -> str:
        """Return one line."""
        return f"{self.file}: correct"


class AppliedFile(msgspec.Struct, frozen=True):
    """A configuration file and what became of it."""

    file: str
    applied: Applied

    def format_text(self) -> str:
        """Return one line."""
        return f"revision {self.applied.revision} is {self.applied.outcome.value}"


def _read(path: Path) -> str:
    text = read_text(path, step="configuration.read")
    parse_configuration(text, source=str(path))
    return text


def _add_file(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", type=Path, help="configuration: JSON with comments")


def _add_file_and_settings(parser: argparse.ArgumentParser) -> None:
    _add_file(parser)
    add_settings(parser)


@command(
    "check",
    summary="check a configuration file and change nothing",
    example="plantainhinge check examples/lochbrae.jsonc",
    arguments=_add_file,
)
def check_file(options: argparse.Namespace) -> CorrectFile:
    """Check a file without any process."""
    _read(options.file)
    return CorrectFile(str(options.file))


@command(
    "apply",
    summary="put a configuration file in force, whole or not at all",
    example="plantainhinge apply site.jsonc --settings /etc/plantainhinge.jsonc",
    arguments=_add_file_and_settings,
)
def apply_file(options: argparse.Namespace) -> AppliedFile:
    """Publish a file and tell what the log decided."""
    settings = read_settings(options)
    text = _read(options.file)
    session = ConfigurationSession(HttpLog(settings.log_address), _name_writer())
    applied = apply_configuration(session, text, operator=getpass.getuser())
    return AppliedFile(str(options.file), applied)


def _name_writer() -> WriterId:
    return WriterId(f"operator/{uuid.uuid4().hex}")

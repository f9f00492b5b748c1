"""The commands that check, compare and apply the configuration."""

import argparse
import getpass
import uuid
from pathlib import Path

import msgspec

from ..adapters.log_http import HttpLog
from ..core.differences import Difference
from ..core.documents import parse_configuration
from ..core.ids import DomainId, Revision, WriterId
from ..core.settings import Settings, read_text
from ..core.states import DomainState
from .apply import (
    ApplyResult,
    ConfigurationSession,
    apply_configuration,
    change_domain,
    diff_configuration,
)
from .arguments import add_settings, read_settings
from .registry import command

SHOWN_DIFFERENCES_MAX = 20


class ValidFile(msgspec.Struct, frozen=True):
    """A configuration file that passed every check."""

    file: str

    def format_text(self) -> str:
        """Return one line that confirms the file."""
        return f"{self.file}: correct"


class Differences(msgspec.Struct, frozen=True):
    """The differences that applying a file would make."""

    file: str
    differences: list[Difference]

    def format_text(self) -> str:
        """Return one line per difference."""
        if not self.differences:
            return f"{self.file}: changes nothing"
        return "\n".join(str(difference) for difference in self.differences)


class AcceptedChange(msgspec.Struct, frozen=True):
    """The result of a command that applied a configuration."""

    applied: ApplyResult

    def format_text(self) -> str:
        """Return the revision and its differences, or only how many if many."""
        first = f"revision {self.applied.revision} is {self.applied.outcome.value}"
        differences = self.applied.differences
        if len(differences) > SHOWN_DIFFERENCES_MAX:
            return f"{first}; {len(differences)} values changed"
        return "\n".join([first, *(f"  {difference}" for difference in differences)])


def _read(path: Path) -> str:
    """Return the text of a configuration file after validating it."""
    text = read_text(path, step="configuration.read")
    parse_configuration(text, source=str(path))
    return text


def _open_session(settings: Settings) -> ConfigurationSession:
    writer = WriterId(f"operator/{uuid.uuid4().hex}")
    return ConfigurationSession(HttpLog(settings.log_address), writer)


def _add_file(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "file", type=Path, help="configuration file (JSON with comments)"
    )


def _add_file_and_settings(parser: argparse.ArgumentParser) -> None:
    _add_file(parser)
    add_settings(parser)


def _add_apply(parser: argparse.ArgumentParser) -> None:
    _add_file_and_settings(parser)
    parser.add_argument(
        "--based-on",
        type=lambda text: Revision(int(text)),
        help="revision that the file was edited from (default: the newest)",
    )


def _add_domain(parser: argparse.ArgumentParser) -> None:
    # Positional, because the flag --domain overrides the domain in the settings.
    parser.add_argument("name", metavar="DOMAIN", type=DomainId)
    add_settings(parser)


@command(
    "check",
    summary="check a configuration file and change nothing",
    example="plantainhinge check examples/lochbrae.jsonc",
    arguments=_add_file,
)
def check_file(options: argparse.Namespace) -> ValidFile:
    """Validate a file without contacting any process."""
    _read(options.file)
    return ValidFile(str(options.file))


@command(
    "diff",
    summary="show what applying a configuration file would change",
    example="plantainhinge diff site.jsonc --settings /etc/plantainhinge.jsonc",
    arguments=_add_file_and_settings,
)
def diff_file(options: argparse.Namespace) -> Differences:
    """Compare a file with the newest configuration in the log."""
    session = _open_session(read_settings(options))
    text = _read(options.file)
    return Differences(str(options.file), diff_configuration(session, text))


@command(
    "apply",
    summary="apply a configuration file as a whole, or change nothing",
    example="plantainhinge apply site.jsonc --settings /etc/plantainhinge.jsonc",
    arguments=_add_apply,
)
def apply_file(options: argparse.Namespace) -> AcceptedChange:
    """Publish a file as the next revision of the configuration."""
    session = _open_session(read_settings(options))
    applied = apply_configuration(
        session,
        _read(options.file),
        operator=getpass.getuser(),
        based_on=options.based_on,
    )
    return AcceptedChange(applied)


@command(
    "take-out",
    summary="take a failure domain out of service and change nothing else",
    example="plantainhinge take-out scot-b --settings /etc/plantainhinge.jsonc",
    arguments=_add_domain,
)
def take_domain_out(options: argparse.Namespace) -> AcceptedChange:
    """Publish the newest configuration with one domain out of service."""
    return _change_domain(options, DomainState.OUT)


@command(
    "bring-back",
    summary="bring a failure domain back into service and change nothing else",
    example="plantainhinge bring-back scot-b --settings /etc/plantainhinge.jsonc",
    arguments=_add_domain,
)
def bring_domain_back(options: argparse.Namespace) -> AcceptedChange:
    """Publish the newest configuration with one domain back in service."""
    return _change_domain(options, DomainState.IN)


def _change_domain(options: argparse.Namespace, state: DomainState) -> AcceptedChange:
    session = _open_session(read_settings(options))
    operator = getpass.getuser()
    return AcceptedChange(
        change_domain(session, options.name, state, operator=operator)
    )

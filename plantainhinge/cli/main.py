"""The ``plantainhinge`` command."""

import argparse
import getpass
import sys
import uuid
from collections.abc import Sequence
from pathlib import Path

import msgspec

from ..adapters.log_http import HttpLog
from ..core.documents import parse_configuration
from ..core.errors import PlantainhingeError
from ..core.ids import WriterId
from ..core.settings import Settings, load_settings
from ..daemons.process import configure_logging, run_gateway, run_scheduler
from .apply import ConfigurationSession, apply_configuration
from .timeline import collect_events, format_event


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    options = build_parser().parse_args(arguments)
    try:
        options.run(options)
    except PlantainhingeError as error:
        print(error, file=sys.stderr)
        return error.exit_code
    return 0


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(prog="plantainhinge")
    commands = parser.add_subparsers(dest="command", required=True)
    for name, run in (("gateway", _run_gateway), ("scheduler", _run_scheduler)):
        command = commands.add_parser(name, help=f"run the {name} daemon")
        _add_settings(command)
        command.add_argument("--check-settings", action="store_true")
        command.set_defaults(run=run)
    check = commands.add_parser("check", help="check a configuration file")
    check.add_argument("file", type=Path)
    check.set_defaults(run=_check)
    apply = commands.add_parser("apply", help="put a configuration file in force")
    apply.add_argument("file", type=Path)
    _add_settings(apply)
    apply.set_defaults(run=_apply)
    timeline = commands.add_parser("timeline", help="show events of all processes")
    timeline.add_argument("subject", nargs="?", default="")
    timeline.add_argument("--output", choices=["text", "json"], default="text")
    _add_settings(timeline)
    timeline.set_defaults(run=_timeline)
    return parser


def _add_settings(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--settings", type=Path, required=True)


def _load(options: argparse.Namespace) -> Settings:
    settings = load_settings(options.settings)
    configure_logging(settings.log_level)
    return settings


def _run_gateway(options: argparse.Namespace) -> None:
    settings = _load(options)
    if not options.check_settings:
        run_gateway(settings)


def _run_scheduler(options: argparse.Namespace) -> None:
    settings = _load(options)
    if not options.check_settings:
        run_scheduler(settings)


def _check(options: argparse.Namespace) -> None:
    text = options.file.read_text(encoding="utf-8")
    parse_configuration(text, source=str(options.file))
    print(f"{options.file}: correct")


def _apply(options: argparse.Namespace) -> None:
    settings = _load(options)
    text = options.file.read_text(encoding="utf-8")
    parse_configuration(text, source=str(options.file))
    writer = WriterId(f"operator/{uuid.uuid4().hex}")
    session = ConfigurationSession(HttpLog(settings.log_address), writer)
    applied = apply_configuration(session, text, operator=getpass.getuser())
    print(f"revision {applied.revision} is {applied.outcome.value}")


def _timeline(options: argparse.Namespace) -> None:
    events = collect_events(_load(options), options.subject)
    if options.output == "json":
        print(msgspec.json.encode(events).decode())
        return
    for event in events:
        print(format_event(event))

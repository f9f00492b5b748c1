"""Entry point of the ``plantainhinge`` command."""

import argparse
import sys
from collections.abc import Sequence

from ..core.errors import PlantainhingeError
from . import configuration, daemons, jobs, status, timeline  # noqa: F401
from .output import OutputFormat, print_result
from .registry import COMMANDS, Command

EXIT_INTERRUPTED = 130


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command and return its exit code; errors go to standard error."""
    options = build_parser().parse_args(arguments)
    try:
        result = options.run(options)
        if result is not None:
            print_result(result, OutputFormat(options.output))
    except PlantainhingeError as error:
        print(error, file=sys.stderr)
        return error.exit_code
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    return 0


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser with all registered commands."""
    parser = argparse.ArgumentParser(
        prog="plantainhinge",
        description="Runs latency-critical services and batch work side by side.",
        epilog=describe_exit_codes(),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for name in COMMANDS:
        _add_command(commands, name, COMMANDS.find(name))
    return parser


def describe_exit_codes() -> str:
    """Return the exit codes with their meanings, one per line."""
    errors: list[type[PlantainhingeError]] = [
        PlantainhingeError,
        *PlantainhingeError.__subclasses__(),
    ]
    rows = sorted(
        (error.exit_code, error.code, error.__doc__ or "") for error in errors
    )
    lines = [
        f"  {exit_code}  {code}: {doc.splitlines()[0]}" for exit_code, code, doc in rows
    ]
    return "\n".join(["exit codes:", "  0  the command succeeded", *lines])


def _add_command(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
    name: str,
    command: Command,
) -> None:
    parser = commands.add_parser(
        name,
        help=command.summary,
        description=command.summary,
        epilog=f"example:\n  {command.example}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    command.add_arguments(parser)
    parser.add_argument(
        "--output",
        choices=[member.value for member in OutputFormat],
        default=OutputFormat.TEXT.value,
        help="output format: text for people or json for programs",
    )
    parser.set_defaults(run=command.run)

"""Registry of the commands that the command line offers."""

import argparse
from collections.abc import Callable
from dataclasses import dataclass

from ..core.registry import Registry
from .output import Result

CommandFunction = Callable[[argparse.Namespace], Result | None]


@dataclass(frozen=True)
class Command:
    """A command of the command line.

    Parameters
    ----------
    summary : str
        One line for the help text.
    example : str
        A complete command line for the help text, which must parse as it stands.
    add_arguments : callable
        Adds the command's arguments to a parser.
    run : callable
        Called with the parsed arguments; returns the result to print, or None.
    """

    summary: str
    example: str
    add_arguments: Callable[[argparse.ArgumentParser], None]
    run: CommandFunction


COMMANDS: Registry[Command] = Registry("command")


def command(
    name: str,
    *,
    summary: str,
    example: str,
    arguments: Callable[[argparse.ArgumentParser], None],
) -> Callable[[CommandFunction], CommandFunction]:
    """Register the decorated function as the command called ``name``."""

    def add(run: CommandFunction) -> CommandFunction:
        COMMANDS.register(name)(Command(summary, example, arguments, run))
        return run

    return add

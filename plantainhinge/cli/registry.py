"""The commands that modules register for the command line."""

import argparse
from collections.abc import Callable
from dataclasses import dataclass

from ..core.registry import Registry
from .output import Result

CommandFunction = Callable[[argparse.Namespace], Result | None]


@dataclass(frozen=True)
class Command:
    """One command.

    Parameters
    ----------
    summary : str
        What it does, in a line.
    example : str
        A command line that works as it stands.
    add_arguments : callable
        Adds its arguments to a parser.
    run : callable
        Takes the parsed arguments; returns what to print, or None.
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

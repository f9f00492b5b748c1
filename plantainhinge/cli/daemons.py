"""The commands that run the daemons."""

import argparse

import msgspec

from ..core.settings import Settings
from ..core.states import DaemonRole
from ..daemons.logs import configure_logging
from ..daemons.process import run_gateway, run_scheduler
from .arguments import add_settings, read_settings
from .registry import command


class ValidSettings(msgspec.Struct, frozen=True):
    """Settings that passed every check."""

    file: str
    settings: Settings

    def format_text(self) -> str:
        """Return one line that confirms the file."""
        return f"{self.file}: correct"


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    add_settings(parser)
    parser.add_argument(
        "--check-settings", action="store_true", help="check the settings and exit"
    )


@command(
    "gateway",
    summary="run the gateway, which answers callers",
    example="plantainhinge gateway --settings /etc/plantainhinge.jsonc",
    arguments=_add_arguments,
)
def run_gateway_command(options: argparse.Namespace) -> ValidSettings | None:
    """Run a gateway until SIGTERM."""
    settings = read_settings(options)
    if options.check_settings:
        return ValidSettings(str(options.settings), settings)
    configure_logging(settings, DaemonRole.GATEWAY)
    run_gateway(settings)
    return None


@command(
    "scheduler",
    summary="run the scheduler, which places work on workers",
    example="plantainhinge scheduler --settings /etc/plantainhinge.jsonc",
    arguments=_add_arguments,
)
def run_scheduler_command(options: argparse.Namespace) -> ValidSettings | None:
    """Run a scheduler until SIGTERM."""
    settings = read_settings(options)
    if options.check_settings:
        return ValidSettings(str(options.settings), settings)
    configure_logging(settings, DaemonRole.SCHEDULER)
    run_scheduler(settings)
    return None

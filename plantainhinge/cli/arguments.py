"""Arguments that several commands share."""

import argparse
import os
from pathlib import Path

from ..core.settings import OVERRIDES, Settings, load_settings

ENVIRONMENT_PREFIX = "PLANTAINHINGE_"


def add_settings(parser: argparse.ArgumentParser, *, required: bool = True) -> None:
    """Add ``--settings`` and the flags that override values of the file."""
    parser.add_argument(
        "--settings", type=Path, required=required, help="settings file of an instance"
    )
    for name, keys in OVERRIDES.items():
        parser.add_argument(
            f"--{name}",
            help=f"overrides {'.'.join(keys)} of the settings file; also set by "
            f"{name_variable(name)}",
        )


def name_variable(name: str) -> str:
    """Return the environment variable that overrides a setting."""
    return ENVIRONMENT_PREFIX + name.replace("-", "_").upper()


def read_settings(options: argparse.Namespace) -> Settings:
    """Load the settings; flags override the environment, which overrides the file."""
    overrides = {}
    for name in OVERRIDES:
        flag = getattr(options, name.replace("-", "_"))
        value = os.environ.get(name_variable(name)) if flag is None else flag
        if value is not None:
            overrides[name] = value
    return load_settings(options.settings, overrides)

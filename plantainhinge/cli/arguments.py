"""Arguments that several commands take."""

import argparse
import os
from pathlib import Path

from ..core.settings import OVERRIDES, Settings, load_settings

ENVIRONMENT_PREFIX = "PLANTAINHINGE_"


def add_settings(parser: argparse.ArgumentParser, *, required: bool = True) -> None:
    """Add the settings file and the values that go before the file's own."""
    parser.add_argument(
        "--settings", type=Path, required=required, help="settings file of an instance"
    )
    for name, keys in OVERRIDES.items():
        parser.add_argument(
            f"--{name}",
            help=f"goes before {'.'.join(keys)} of the file; also as "
            f"{name_variable(name)}",
        )


def name_variable(name: str) -> str:
    """Return the environment variable that overrides a setting."""
    return ENVIRONMENT_PREFIX + name.replace("-", "_").upper()


def read_settings(options: argparse.Namespace) -> Settings:
    """Return the settings that the arguments name; a flag goes before all else."""
    overrides = {}
    for name in OVERRIDES:
        flag = getattr(options, name.replace("-", "_"))
        value = os.environ.get(name_variable(name)) if flag is None else flag
        if value is not None:
            overrides[name] = value
    return load_settings(options.settings, overrides)

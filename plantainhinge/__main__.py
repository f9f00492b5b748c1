"""Runs the ``plantainhinge`` command by ``python -m plantainhinge``."""

import sys

from .cli.main import main

if __name__ == "__main__":
    sys.exit(main())

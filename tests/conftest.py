"""Derandomizes hypothesis and handles the known failures of KNOWN-RED.txt.

Tests listed there are expected to fail, and the list is printed after each run. A
listed test that passes fails the run, so that its entry is removed.
"""

from pathlib import Path

import pytest
from hypothesis import settings

from .sites import open_site

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"

settings.register_profile("ci", derandomize=True, deadline=None, print_blob=True)
settings.load_profile("ci")


def read_known_red() -> dict[str, str]:
    entries = {}
    for line in KNOWN_RED.read_text(encoding="utf-8").splitlines():
        if line.strip() and not line.startswith("#"):
            test = line.split("|")[0].strip()
            entries[test] = line
    return entries


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known = read_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter) -> None:
    terminalreporter.write_line("seeds: hypothesis is derandomized; time is paused")
    for line in read_known_red().values():
        terminalreporter.write_line(f"known red: {line}")


@pytest.fixture
def site():
    with open_site() as opened:
        yield opened

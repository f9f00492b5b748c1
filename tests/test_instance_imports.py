"""Tests that an instance imports only the packages of its own lock file."""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
UNUSED_PACKAGES = ("json5", "grpclib", "h2", "opentelemetry", "waitress")


def test_an_instance_imports_no_packages_of_the_other_daemons():
    program = (
        "import sys, plantainhinge.platform.program;"
        f"print([name for name in {UNUSED_PACKAGES} if name in sys.modules])"
    )
    result = subprocess.run(
        [sys.executable, "-c", program],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert result.stdout.strip() == "[]"


def test_the_lock_file_lists_exactly_the_needed_packages():
    locked = (ROOT / "requirements-instance.txt").read_text(encoding="utf-8")
    names = set(re.findall(r"^([a-z-]+)==", locked, re.MULTILINE))
    assert names == {"httptools", "msgspec", "prometheus-client", "python-json-logger"}

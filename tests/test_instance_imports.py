"""An entry instance starts with the few packages that its lock file names."""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
OTHERS = ("json5", "grpclib", "h2", "opentelemetry", "waitress")


def test_the_process_of_an_instance_needs_no_other_package():
    program = (
        "import sys, plantainhinge.platform.program;"
        f"print([name for name in {OTHERS} if name in sys.modules])"
    )
    answer = subprocess.run(
        [sys.executable, "-c", program],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert answer.stdout.strip() == "[]"


def test_its_lock_file_names_what_it_needs():
    locked = (ROOT / "requirements-instance.txt").read_text(encoding="utf-8")
    names = set(re.findall(r"^([a-z-]+)==", locked, re.MULTILINE))
    assert names == {"httptools", "msgspec", "prometheus-client", "python-json-logger"}

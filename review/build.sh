#!/usr/bin/env bash
# Builds the stand-ins. They are plain Python with the standard library only, so this
# checks that they and the scripts compile, and writes nothing into the tree.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON

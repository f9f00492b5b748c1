#!/usr/bin/env bash
# Checks that all stand-ins of cases 6 to 10 load with the dependencies of the deploy
# file's build line, which has to have run. They are Python: nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
python3 - <<'PYTHON'
import importlib

for name in ("advice", "idle", "record", "site", "worker"):
    importlib.import_module(f"review.standins_2.{name}")
for name in ("addresses", "platform_group", "platform_store"):
    importlib.import_module(f"standins.{name}")
for number in range(6, 11):
    importlib.import_module(f"review.{number}.case")
print("the stand-ins of cases 6 to 10 load")
PYTHON

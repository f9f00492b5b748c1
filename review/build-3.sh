#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python; this checks that they can be loaded
# with what the build of the deploy file has put into target/deps.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/kit-3 python3 -c "import site3"

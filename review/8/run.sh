#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
case ${TROUBLE:-1} in
    0) trouble=without-trouble ;;
    *) trouble=with-trouble ;;
esac
PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1 timeout --kill-after=3 115 \
    python3 -m "review.$(basename "$folder").case" "$trouble"
case $? in
    0) exit 0 ;;
    10) exit 1 ;; # any other status is an error of the script, not a broken rule
    *) exit 2 ;;
esac

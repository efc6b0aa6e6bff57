#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform/lavenderdaled-platform ] || { echo "not built: see the build line of deploy/system.toml"; exit 2; }
rm -f review/10/record.txt
PYTHONDONTWRITEBYTECODE=1 timeout -k 1 117 python3 review/10/case.py
Code=$?
[ "$Code" -eq 1 ] && grep -qs "result: broken" review/10/record.txt && exit 1
[ "$Code" -eq 0 ] && exit 0
exit 2

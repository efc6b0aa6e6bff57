#!/usr/bin/env bash
# Builds what the scripts of the cases start, besides the program of the deploy
# file. The stand-ins are Python programs without dependencies, so this only
# checks that they compile; nothing is written.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common/*.py [1-5]/case.py <<'PYTHON'
import sys
for name in sys.argv[1:]:
    compile(open(name, encoding="utf-8").read(), name, "exec")
PYTHON

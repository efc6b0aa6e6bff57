#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python programs, the project's own (tests/process) too, so there
# is nothing to compile: this checks that all of them can be loaded. The daemon is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'END'
import ast
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
sources = [Path("tests/process") / f"{name}.py" for name in ("cluster", "ports", "sessionfleet", "sessionstandin")]
sources += sorted(Path("review/common-2").glob("*.py"))
sources += [path for number in range(6, 11) for path in sorted(Path(f"review/{number}").glob("*.py"))]
for path in sources:
    ast.parse(path.read_text(), str(path))
print(f"{len(sources)} stand-ins can be loaded")
END

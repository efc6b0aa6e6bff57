#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15. They are Python
# programs, so this only checks that each of them can be compiled.
cd "$(dirname "$0")" || exit 1
for Source in common-3/*.py 11/*.py 12/*.py 13/*.py 14/*.py 15/*.py; do
  PYTHONDONTWRITEBYTECODE=1 python3 -c \
    "import sys; compile(open(sys.argv[1], encoding='utf-8').read(), sys.argv[1], 'exec')" "$Source" || exit 1
done

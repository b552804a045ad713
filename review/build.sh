#!/bin/sh
# Builds the stand-ins of the review: Python's standard library only, so compiling them shows that they are whole.
set -e
cd "$(dirname "$0")"
python=../.venv/bin/python
test -x "$python" || { echo "the build of the deploy file has to run first" >&2; exit 2; }
"$python" - standins 1 2 3 <<'PYTHON'
import pathlib
import sys

for folder in sys.argv[1:]:
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON

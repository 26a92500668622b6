#!/usr/bin/env bash
# Checks the stand-ins of the scripts; they are Python programs without dependencies and need no build.
set -e
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
for path in sorted(pathlib.Path(".").glob("**/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON

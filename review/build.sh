#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they are Python of the standard library, so that this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'CHECK'
import ast, glob
for path in glob.glob("**/*.py", recursive=True):
    ast.parse(open(path, encoding="utf-8").read(), path)
CHECK

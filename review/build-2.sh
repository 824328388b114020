#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. They are Python scripts of the standard library, so that only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or later is needed." >&2; exit 1; }
for file in stand/*.py [0-9]*/play.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done

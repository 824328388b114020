#!/bin/bash
# The stand-ins of review/11 to review/15 are Python programs of this folder; nothing has to be compiled.
cd "$(dirname "$0")" && python3 -c "import ast, glob; [ast.parse(open(name).read()) for name in glob.glob(\"lab3/*.py\") + glob.glob(\"1[1-5]/*.py\")]"

#!/usr/bin/env bash
# The stand-ins of the cases are Python scripts of the standard library; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common/*.py [1-5]/*.py <<'PY'
import ast
import sys

for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
PY

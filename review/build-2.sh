#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python scripts that need only its standard
# library, so this checks that they compile. The programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for script in common-2/*.py [0-9]*/play.py; do
  case "$script" in [1-5]/*) continue ;; esac
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$script"
done

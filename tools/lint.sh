#!/usr/bin/env bash
# Checks format, generated code and style. Usage: tools/lint.sh [build folder]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}

git ls-files '*.h' '*.cc' | xargs clang-format --dry-run -Werror
echo "format: clean"
python3 tools/generate.py --check
python3 tools/make_examples.py --check
python3 tools/fault_matrix.py --check
echo "generated code, examples and fault matrix: current"
git ls-files 'src/*.cc' 'tests/*.cc' 'bench/*.cc' | grep -v '^src/gen/' |
  xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet 2>/dev/null
echo "clang-tidy: clean"

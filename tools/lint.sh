#!/usr/bin/env bash
# Checks formatting, names of the users' platform, generated files and clang-tidy.
# Usage: tools/lint.sh [build folder]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}

git ls-files '*.h' '*.cc' | xargs clang-format --dry-run -Werror
echo "format: clean"
# Names of the users' platform must not occur in src, schema, bench or tests, except
# in the tests that run the adapter (platform/).
platform_names='JUJUBELIFT_NODE_FILE|beat_endpoint|Server-Seal|Not-Executed|Cold-Ms|cold_left_s|Expect-Instance|Affinity-Key|Attempt-Id|include_in_tolerance|weighted_services|fleetbench|non_idempotent'
if git grep -nE "\b($platform_names)\b" -- src schema bench tests ':!tests/platform' ':!tests/soak' ':!tests/process/discovery_*'; then
  echo "names of the users' platform found outside platform/ and deploy/"
  exit 1
fi
echo "names of the platform: in platform/ only"
python3 tools/generate.py --check
python3 tools/make_examples.py --check
python3 tools/fault_matrix.py --check
echo "generated code, examples and fault matrix: current"
git ls-files 'src/*.cc' 'platform/*.cc' 'tests/*.cc' 'bench/*.cc' | grep -v '^src/gen/' |
  xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet 2>/dev/null
echo "clang-tidy: clean"

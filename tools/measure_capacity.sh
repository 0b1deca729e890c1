#!/usr/bin/env bash
# Measures how costs grow with size, for docs/CAPACITY.md: prints a table and
# writes JSON.
# Usage: tools/measure_capacity.sh [build folder] [JSON file]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
json=${2:-$build/capacity.json}
cmake -S . -B "$build" -G Ninja >/dev/null
ninja -C "$build" capacity_bench >/dev/null
"$build/capacity_bench" "$json"
echo "written: $json"

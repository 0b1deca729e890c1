#!/usr/bin/env bash
# Installs missing packages (as root only), builds, and runs an example deployment.
# Usage: tools/demo.sh [cooperative|lab] [--keep]
set -euo pipefail
cd "$(dirname "$0")/.."
[ "$(id -u)" -ne 0 ] || tools/setup.sh
cmake -S . -B build -G Ninja >/dev/null
ninja -C build jujube-controld jujube-entryd jujubectl jujube-upstream jujube-caller | tail -n 1
exec python3 tools/demo.py "$@"

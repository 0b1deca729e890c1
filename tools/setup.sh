#!/usr/bin/env bash
# Installs the packages needed to build and test. Run as root; does nothing if
# all of them are installed.
set -euo pipefail

packages=(
  ccache clang-format clang-tidy cmake g++ ninja-build python3
  libasan8 libbenchmark-dev libboost1.81-dev libboost-json1.81-dev
  libboost-log1.81-dev libcereal-dev libclang-rt-14-dev libgflags-dev
  libgtest-dev librapidcheck-dev libssl-dev libtsan2 libubsan1 liburcu-dev
  libxxhash-dev prometheus-cpp-dev
)

missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f '${db:Status-Status}' "$package" 2>/dev/null || true)
  [ "$status" = installed ] || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -qq
  apt-get install -y -qq "${missing[@]}" >/dev/null
fi

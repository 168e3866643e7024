#!/usr/bin/env bash
# Installs missing packages and builds all targets in build/.
# MIMOSASTAGE_JOBS limits the number of parallel compiler processes.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install_packages.sh
cmake -S . -B build -G Ninja "$@" > build.cmake.log 2>&1 || { cat build.cmake.log; exit 1; }
rm -f build.cmake.log
cmake --build build -j "${MIMOSASTAGE_JOBS:-10}"

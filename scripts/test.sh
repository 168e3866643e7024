#!/usr/bin/env bash
# Builds the project and runs all its tests.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh
ctest --test-dir build --output-on-failure -j "${MIMOSASTAGE_TEST_JOBS:-4}"

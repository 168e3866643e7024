#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, in review/build/.
# Needs g++ and nlohmann-json3-dev, which the build of the deploy file needs, too.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in standins/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/$(basename "$source" .cpp)" "$source" &
done
for job in $(jobs -p); do
  wait "$job"
done

#!/usr/bin/env bash
# Runs the unit test programs under sanitizers: the address and
# undefined-behaviour sanitizers in build-asan, the thread sanitizer in
# build-tsan. Prints one result line for each program and writes its output to
# BUILD/PROGRAM.log.
#
#   scripts/sanitize.sh [asan|tsan]... [PROGRAM]...
#
# Without arguments, runs both builds and all programs. Skips tests/system, whose
# processes and time limits are meant for the build without sanitizers, and the
# long seeded test in `long_tests`. The replication schedules run with 50 seeds
# instead of 10,000.
# Undefined behaviour aborts the program; the sanitizer's default is to print it
# and go on.
# MIMOSASTAGE_JOBS limits the number of parallel compiler processes.
set -euo pipefail
cd "$(dirname "$0")/.."

# Takes 5 s without sanitizers.
long_tests='ReplicatedStateTest.Apply_SeededSchedules_AgreesWithNaiveState'
known_red=$(sed -n 's/^test: //p' KNOWN-RED.txt 2> /dev/null | paste -sd: || true)
if [ -n "$known_red" ]; then
  echo "not run, see KNOWN-RED.txt: ${known_red//:/ }"
fi

builds=()
programs=()
for argument in "$@"; do
  case "$argument" in
    asan | tsan) builds+=("$argument") ;;
    *) programs+=("${argument%_test}_test") ;;
  esac
done
if [ "${#builds[@]}" -eq 0 ]; then builds=(asan tsan); fi
if [ "${#programs[@]}" -eq 0 ]; then
  for folder in tests/*/; do
    name=$(basename "$folder")
    if [ "$name" != system ] && compgen -G "$folder*_test.cc" > /dev/null; then
      programs+=("${name}_test")
    fi
  done
fi

failed=0
for build in "${builds[@]}"; do
  cmake -S . -B "build-$build" -G Ninja "-DMIMOSASTAGE_${build^^}=ON" > "build-$build.log" ||
    { cat "build-$build.log"; exit 1; }
  rm -f "build-$build.log"
  # operators_test starts mimosastagectl.
  cmake --build "build-$build" -j "${MIMOSASTAGE_JOBS:-10}" --target "${programs[@]}" mimosastagectl
  for program in "${programs[@]}"; do
    log="build-$build/$program.log"
    status=0
    UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1 MIMOSASTAGE_SCHEDULES=50 \
      timeout 120 "build-$build/tests/$program" "--gtest_filter=-$long_tests:$known_red" \
      > "$log" 2>&1 || status=$?
    case "$status" in
      0) result=passed ;;
      124) result="timed out after 120 s" ;;
      *) result="FAILED with exit status $status" ;;
    esac
    echo "$build $program: $result, $(grep -c '^\[       OK' "$log" || true) tests passed"
    if [ "$status" -ne 0 ]; then failed=1; fi
  done
done
exit "$failed"

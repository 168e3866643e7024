#!/usr/bin/env bash
# Checks the formatting of all sources and runs clang-tidy on them, except on
# generated code. With file names as arguments, checks only these files. Needs
# the compilation database in build/.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cc' | grep -v '_generated\.h$')
fi
clang-format --dry-run --Werror "${files[@]}"
printf '%s\n' "${files[@]}" | grep '\.cc$' |
  xargs -P "${MIMOSASTAGE_JOBS:-10}" -n 1 clang-tidy -p build --quiet 2> /dev/null

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/late_copy
if [ ! -x "$program" ] || [ ! -x target/bin/mimosastage_platform ]; then
  echo "build with the deploy file's build line and review/build-3.sh" >&2
  exit 2
fi
timeout -k 2 117 "$program" review/13/record.txt
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"

#!/usr/bin/env bash
# Checks that only platform/ speaks the words of the users' platform: nothing
# under src/ includes its headers or names its paths, headers and fields. First
# shows on a planted line that the check finds one.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly words='"platform/|/-/|X-Lease-Holder|X-Fencing-Token|X-Expected-Instance|fencing_token|last_checkpoint|ended_runs|anti_affinity|gang_scheduled|memory_request_mb|heartbeat_address|MIMOSASTAGE_BOOT'

# Prints the offending lines below the folder; fails if there are none.
find_words() {
  grep -rnE --include='*.h' --include='*.cc' --include='*.fbs' "$words" "$1"
}

planted=$(mktemp -d)
trap 'rm -rf "$planted"' EXIT
echo 'auto text = "X-Fencing-Token";' > "$planted/planted.cc"
if ! find_words "$planted" > /dev/null; then
  echo "the check doesn't find a planted word" >&2
  exit 1
fi
if find_words src; then
  echo "words of the platform outside platform/: translate them there" >&2
  exit 1
fi
echo "no word of the platform outside platform/"

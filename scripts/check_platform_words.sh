#!/usr/bin/env bash
# Checks that names of the users' platform occur only in platform/: nothing
# under src/ includes its headers or contains the names of its paths, HTTP
# headers and fields. First tests the search itself on a sample file that
# contains such a name.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly platform_names='"platform/|/-/|X-Lease-Holder|X-Fencing-Token|X-Expected-Instance|fencing_token|last_checkpoint|ended_runs|anti_affinity|gang_scheduled|memory_request_mb|heartbeat_address|MIMOSASTAGE_BOOT'

# Prints the lines under a directory that contain a platform name; fails if there
# are none.
find_platform_names() {
  grep -rnE --include='*.h' --include='*.cc' --include='*.fbs' "$platform_names" "$1"
}

sample_dir=$(mktemp -d)
trap 'rm -rf "$sample_dir"' EXIT
echo 'auto text = "X-Fencing-Token";' > "$sample_dir/sample.cc"
if ! find_platform_names "$sample_dir" > /dev/null; then
  echo "the search doesn't find the platform name in the sample file" >&2
  exit 1
fi
if find_platform_names src; then
  echo "names of the platform under src/: move this code to platform/" >&2
  exit 1
fi
echo "src/ contains no names of the platform"

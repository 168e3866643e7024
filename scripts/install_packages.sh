#!/usr/bin/env bash
# Installs the Debian packages of scripts/packages.txt that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."

missing=()
while read -r package; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done < scripts/packages.txt

if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${missing[@]}"
fi

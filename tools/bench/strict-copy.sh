#!/usr/bin/env bash
# Makes a copy of a site's folder on which the stricter rules on first tries, closed connections and
# refusals hold, as further deployments may set them.
#
#   tools/bench/strict-copy.sh SITE.toml FOLDER
set -euo pipefail
[ $# -eq 2 ] || { echo "usage: $0 SITE.toml FOLDER" >&2; exit 2; }
site=$1
folder=$2
[ -f "$site" ] || { echo "$site is not a file" >&2; exit 2; }
mkdir -p "$folder"
cp "$(dirname "$site")"/* "$folder"/
copy="$folder/$(basename "$site")"
chmod u+w "$folder"/*
sed -i \
  -e '/^\[bounds\]$/a attends = true\ncloses = true\neven = true' \
  -e '/^\[timing\]$/a truthful = true' \
  "$copy"
for key in attends closes even truthful; do
  grep -q "^$key = true$" "$copy" || { echo "$copy has no table for $key" >&2; exit 1; }
done
echo "$copy"

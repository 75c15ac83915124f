#!/usr/bin/env bash
# Plays the runs of regression.txt one after the other and prints a table of them.
#
#   tools/bench/regression.sh BENCH SITES WHY [JOBS] [PATTERN]
#
# BENCH is the bench's program, SITES the folder of sites; of a list of runs only those that match
# PATTERN are played. Their full output goes to a folder that is named at the start.
set -euo pipefail
[ $# -ge 3 ] || { echo "usage: $0 BENCH SITES WHY [JOBS] [PATTERN]" >&2; exit 2; }
bench=$1
sites=$2
why=$3
jobs=${4:-4}
pattern=${5:-.}
here=$(cd "$(dirname "$0")" && pwd)
out=$(mktemp -d)
echo "output: $out"

site_file() {
  case $1 in
    strict:*)
      local site=${1#strict:}
      "$here/strict-copy.sh" "$sites/$site.toml" "$out/strict/$(dirname "$site")"
      ;;
    *) echo "$sites/$1.toml" ;;
  esac
}

failed=0
while read -r site verb days; do
  file=$(site_file "$site")
  log="$out/$(echo "$site-$verb" | tr '/:' '--').txt"
  status=0
  "$bench" "$verb" "$file" ${days:+--days "$days"} --jobs "$jobs" --why "$why" > "$log" 2>&1 || status=$?
  [ "$status" -eq 0 ] || failed=1
  echo "== $site $verb $days: exit $status"
  grep -E '^(score on|GATE|day |[a-z0-9-]+ +[0-9]+/[0-9]+ )|rule' "$log" || true
done < <(grep -v '^#' "$here/regression.txt" | grep -E "$pattern")
exit "$failed"

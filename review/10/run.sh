#!/usr/bin/env bash
# Plays the case "stale-list" and writes record.txt beside this script. Exits with 1 if the rule was broken, 0 if it held, and 2
# if the case could not run. TROUBLE=0 leaves the disruption out. Build first: the deploy file's build, review/build-2.sh.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review-2/standins
[ -x "$program" ] && [ -x target/release/wheelpath-node ] || { echo "build first" >&2; exit 2; }
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
# The nodes run in the process group of this script's program, which is ended as a whole when the script ends.
set -m
"$program" stale-list "$folder" &
group=$!
set +m
finish() {
    kill -KILL -- "-$group" 2>/dev/null
    rm -rf "$CASE_TMP"
}
trap finish EXIT
trap 'exit 2' INT TERM
wait "$group"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"

#!/usr/bin/env bash
# Runs the case in FOLDER: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the disruption.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/target/review-2/case$(basename "$folder")
if [ ! -x "$program" ] || [ ! -x "$root/target/bin/lycheelandingd" ]; then
  echo "run the build of the deploy file and review/build-2.sh first" >&2
  exit 2
fi
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
timeout -s KILL 110 "$program" "$root" "$folder" "$temporary"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"

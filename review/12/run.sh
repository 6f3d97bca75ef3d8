#!/usr/bin/env bash
# Review case 12: the final fault strikes in mid-switch while a worker of the group leaves. TROUBLE=0: it does not leave.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/lycheelandingd ] && [ -x target/review-3/case12 ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 2 100 target/review-3/case12 review/12/record.txt "$folder" "${TROUBLE:-1}"
code=$?
rm -rf "$folder"
[ "$code" -le 2 ] || code=2
exit "$code"

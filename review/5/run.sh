#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-5 ] && [ -x target/bin/lycheelandingd ] || exit 2
exec timeout -k 5 110 target/review/case-5

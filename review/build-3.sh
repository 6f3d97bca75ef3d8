#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on into target/review-3/. The cases 9 and 10 are built by build-2.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in 11; do
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-3/case$case" "review/$case/case.cc"
done
for number in 12 13; do
  "${CXX:-g++}" -std=c++20 -O1 -pthread "review/$number/world.cc" -o "target/review-3/case$number"
done

#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/review-2/. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-2/case$number" "$source"
done

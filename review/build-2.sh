#!/usr/bin/env bash
# Builds the stand-ins and the driver of each case of the second review into build-review-2/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++17 -O2 -Wall -Wextra -pthread -Ireview -o "build-review-2/case$number" "$source" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done

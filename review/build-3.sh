#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review 3 start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
compiler=$(command -v clang++-19 || command -v clang++)
for source in review/stand-ins-3/*.cpp; do
    name=$(basename "$source" .cpp)
    "$compiler" -std=c++23 -O1 -pthread -Ireview/stand-ins-3 "$source" -o "target/review-3/$name" &
done
wait

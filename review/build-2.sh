#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
build() {
    clang++-19 -std=c++20 -O1 -g -Wall -Wextra -pthread "review/stand-ins-2/$1" -o "target/review-2/$2"
}
build HandoverCase.cpp handover
build CrashingPartCase.cpp crashing-part
build RestoredKeyCase.cpp restored-key

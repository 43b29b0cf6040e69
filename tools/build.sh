#!/usr/bin/env bash
# Configures and builds. Usage: tools/build.sh [FOLDER [CMAKE_ARGUMENT...]]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
shift || true
cmake -G Ninja -S . -B "$folder" -DCMAKE_CXX_COMPILER=clang++-19 "$@" >"$folder.cmake.log" 2>&1 || {
    cat "$folder.cmake.log"
    exit 1
}
rm -f "$folder.cmake.log"
ninja -C "$folder" --quiet

#!/usr/bin/env bash
# Runs clang-tidy over the sources in a build folder's compilation database.
# Usage: tools/lint.sh [BUILD_FOLDER [FILE...]]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
    mapfile -t files < <(git ls-files --cached --others --exclude-standard 'Source/*.cpp' 'platform/*.cpp')
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy-19 -p "$build" --quiet 2>/dev/null

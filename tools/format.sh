#!/usr/bin/env bash
# Checks the format of all sources; with --fix it changes them.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = "--fix" ] && mode=(-i)
git ls-files --cached --others --exclude-standard 'Source/*.h' 'Source/*.cpp' 'platform/*.h' 'platform/*.cpp' | grep -v '_generated\.h$' \
    | xargs clang-format-19 "${mode[@]}"

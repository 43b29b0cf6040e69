#!/usr/bin/env bash
# Runs pollenwind-gateway as processes under faults from outside (proxies, signals, the store and the runners) and checks
# the promises. Ends only processes that it started.
# Usage: tools/gateway-soak.sh [--seeds "N N..."] [--seconds S] [--build FOLDER] [--regressions]
set -euo pipefail
cd "$(dirname "$0")/.."
seeds="1"
seconds=40
build=build
while [ $# -gt 0 ]; do
    case $1 in
    --seeds) seeds=$2 && shift ;;
    --seconds) seconds=$2 && shift ;;
    --build) build=$2 && shift ;;
    --regressions) seeds=$(sed -n 's/^\([0-9][0-9]*\) .*/\1/p' Source/UnitTests/PlatformSoak/regressions.txt | tr '\n' ' ') ;;
    *)
        echo "usage: tools/gateway-soak.sh [--seeds \"N N...\"] [--seconds S] [--build FOLDER] [--regressions]" >&2
        exit 2
        ;;
    esac
    shift
done
failed=0
for seed in $seeds; do
    work=$(mktemp -d)
    echo "== seed $seed"
    if "$build/Source/UnitTests/PlatformSoak/gateway-soak" --seed "$seed" --seconds "$seconds" --folder "$work" \
        --program "$build/platform/pollenwind-gateway"; then
        rm -rf "$work"
    else
        failed=$((failed + 1))
        echo "seed $seed broke a promise; logs in $work; repeat with: tools/gateway-soak.sh --seeds $seed --seconds $seconds"
    fi
done
[ "$failed" -eq 0 ]

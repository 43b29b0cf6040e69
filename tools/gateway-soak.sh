#!/usr/bin/env bash
# Runs several processes of pollenwind-gateway, injects faults from outside (proxies, signals, store and runners) and
# checks the guarantees. Terminates only processes that it started.
# Usage: tools/gateway-soak.sh [--seeds "N N..."] [--seconds S] [--jobs N] [--build FOLDER] [--regressions] [--faults NAME,NAME...]
set -euo pipefail
cd "$(dirname "$0")/.."
seeds="1"
seconds=40
build=build
jobs=4
faults=
while [ $# -gt 0 ]; do
    case $1 in
    --seeds) seeds=$2 && shift ;;
    --seconds) seconds=$2 && shift ;;
    --build) build=$2 && shift ;;
    --jobs) jobs=$2 && shift ;;
    --faults) faults=$2 && shift ;;
    --regressions) seeds=$(sed -n 's/^\([0-9][0-9]*\) .*/\1/p' Source/UnitTests/PlatformSoak/regressions.txt | tr '\n' ' ') ;;
    *)
        echo "usage: tools/gateway-soak.sh [--seeds \"N N...\"] [--seconds S] [--jobs N] [--build FOLDER] [--regressions] [--faults NAME,NAME...]" >&2
        exit 2
        ;;
    esac
    shift
done
play() {
    local seed=$1 work output
    work=$(mktemp -d)
    output=$("$build/Source/UnitTests/PlatformSoak/gateway-soak" --seed "$seed" --seconds "$seconds" --folder "$work" \
        --program "$build/platform/pollenwind-gateway" ${faults:+--faults "$faults"} 2>&1) && local status=0 || local status=$?
    printf '== seed %s\n%s\n' "$seed" "$output"
    if [ "$status" -eq 0 ]; then
        rm -rf "$work"
    else
        echo "seed $seed failed; logs in $work; repeat with: tools/gateway-soak.sh --seeds $seed --seconds $seconds${faults:+ --faults $faults}"
    fi
    return "$status"
}
export -f play
export build seconds faults
# Each seed uses its own loopback network, so that several can run concurrently.
printf '%s\n' $seeds | xargs -r -P "$jobs" -I{} bash -c 'play {}'

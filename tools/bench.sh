#!/usr/bin/env bash
# Runs a benchmark. Usage: tools/bench.sh placement|decisions|moves|control|latency [ARGUMENT...]
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:-}
shift || true
tools/build.sh build
case "$name" in
placement)
    mkdir -p docs/plots
    build/Source/Programs/PollenwindBench/pollenwind-bench --plot docs/plots/placement.svg "$@"
    ;;
decisions)
    build/Source/Programs/PollenwindBench/pollenwind-decision-bench "$@"
    ;;
moves)
    build/Source/Programs/PollenwindMoveBench/pollenwind-move-bench "$@"
    ;;
control)
    for n in 3 9 27; do
        tools/measure-control.sh "$n"
    done
    ;;
latency)
    for rate in 100 400; do
        tools/measure-latency.sh "$rate"
    done
    ;;
*)
    echo "usage: tools/bench.sh placement|decisions|moves|control|latency [ARGUMENT...]" >&2
    exit 2
    ;;
esac

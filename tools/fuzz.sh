#!/usr/bin/env bash
# Builds the fuzzers and runs each for a bounded time with a fixed seed, starting from the examples.
# Usage: tools/fuzz.sh SECONDS. An input that fails is kept in build-fuzz/findings.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:?usage: tools/fuzz.sh SECONDS}
[[ $seconds =~ ^[1-9][0-9]*$ ]] || {
    echo "tools/fuzz.sh: SECONDS must be a whole number from 1" >&2
    exit 2
}
folder=build-fuzz
cmake -G Ninja -S . -B "$folder" -DCMAKE_CXX_COMPILER=clang++-19 -DPOLLENWIND_FUZZ=ON \
    -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
fuzzers=()
for source in Source/Fuzz/*Fuzzer.cpp; do
    fuzzers+=("$(basename "$source" .cpp)")
done
ninja -C "$folder" --quiet "${fuzzers[@]}"
mkdir -p "$folder/findings"
failed=0
for name in "${fuzzers[@]}"; do
    # A new corpus for each run, so that equal seeds start from equal inputs.
    rm -rf "$folder/corpus/$name"
    mkdir -p "$folder/corpus/$name"
    seeds=()
    [ "$name" = DocumentFuzzer ] && seeds=(examples/*)
    options=()
    [ -f "Source/Fuzz/$name.dict" ] && options=(-dict="Source/Fuzz/$name.dict")
    echo "== $name: $seconds s"
    "$folder/Source/Fuzz/$name" -seed=20261204 -max_total_time="$seconds" -max_len=8192 -timeout=10 \
        -rss_limit_mb=2048 -print_final_stats=1 "${options[@]}" -artifact_prefix="$folder/findings/$name-" \
        "$folder/corpus/$name" "${seeds[@]}" >"$folder/$name.log" 2>&1 || {
        failed=1
        tail -n 40 "$folder/$name.log"
    }
    grep -E '^stat::(number_of_executed_units|average_exec_per_sec)|^Done' "$folder/$name.log" || true
done
exit "$failed"

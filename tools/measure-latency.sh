#!/usr/bin/env bash
# Compares the time to first token through one router with direct calls to the engine, in the same run.
# Usage: tools/measure-latency.sh [RATE [SECONDS [BUILD]]]
set -euo pipefail
cd "$(dirname "$0")/.."
rate=${1:-100}
seconds=${2:-10}
programs=${3:-build}/Source/Programs
work=$(mktemp -d)
net=127.63.1
export POLLENWIND_KEY=latency-key
token=latency-admin-token-0123456789
pids=()
cleanup() {
    for pid in "${pids[@]}"; do
        kill -9 "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT
"$programs/PollenwindStandIns/pollenwind-standins" --store "$net.4:2379" --engine "fitter,v1,$net.1:9001" \
    --piece-tokens 64 --cache-pieces 4096 --prefill-us 5 --decode-us 2000 >"$work/standins.log" 2>&1 &
pids+=($!)
cat >"$work/router.json" <<SETTINGS
{"vm":"vm-1","zone":"a",
 "listen":{"callers":"$net.10:8080","admin":"$net.10:8081","peers":"$net.10:8082"},
 "store":{"endpoint":"$net.4:2379"},
 "secrets":{"cluster":"latency-cluster-secret","admin":"$token"},"log":{"level":"error"}}
SETTINGS
"$programs/Pollenwindd/pollenwindd" --settings "$work/router.json" >"$work/router.log" 2>&1 &
router=$!
pids+=("$router")
sleep 1.5
document="{\\\"zones\\\":[\\\"a\\\"],\\\"services\\\":{\\\"fitter\\\":{\\\"version\\\":\\\"v1\\\",\\\"piece_tokens\\\":64,\\\"upstreams\\\":[{\\\"name\\\":\\\"engine-1\\\",\\\"address\\\":\\\"$net.1:9001\\\",\\\"zone\\\":\\\"a\\\"}]}},\\\"organisations\\\":{\\\"o\\\":{\\\"rate\\\":1e9,\\\"burst\\\":1e10}}}"
send() { curl -sS -f -H "Authorization: Bearer $token" "http://$net.10:8081/admin/commands/$1" -d "$2" >/dev/null; }
send apply "{\"change\":\"c\",\"operator\":\"bench\",\"document\":\"$document\"}"
digest=$(printf %s "$POLLENWIND_KEY" | sha256sum | cut -d' ' -f1)
send key "{\"digest\":\"$digest\",\"organisation\":\"o\",\"state\":\"valid\"}"
sleep 4
ticks() { awk '{print $14 + $15}' "/proc/$router/stat"; }
before=$(ticks)
sleep 5
echo "idle: $(($(ticks) - before)) ticks of 10 ms in 5 s"
"$programs/PollenwindLoad/pollenwind-load" --router "$net.10:8080" --engine "$net.1:9001" --model fitter \
    --rate "$rate" --seconds "$seconds" --max-tokens 16 --prompt-tokens 256 --pid "$router"

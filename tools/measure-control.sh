#!/usr/bin/env bash
# Measures the cost of control traffic: routers in 3 zones with a store and 9 engines, without requests.
# Usage: tools/measure-control.sh ROUTERS [SECONDS] [BUILD]
# Prints CPU share, resident memory and peer bytes per second of each router, and calls per second to the store.
set -euo pipefail
cd "$(dirname "$0")/.."
routers=${1:?number of routers}
seconds=${2:-20}
programs=${3:-build}/Source/Programs
work=$(mktemp -d)
net=127.62
token=control-admin-token-0123456789
pids=()
cleanup() {
    for pid in "${pids[@]}"; do
        kill -9 "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT
zones=(a b c)
standins=(--store "$net.1.1:2379")
upstreams=""
for i in 1 2 3 4 5 6 7 8 9; do
    standins+=(--engine "fitter,v1,$net.2.$i:9001")
    upstreams+="{\\\"name\\\":\\\"engine-$i\\\",\\\"address\\\":\\\"$net.2.$i:9001\\\",\\\"zone\\\":\\\"${zones[i % 3]}\\\"},"
done
"$programs/PollenwindStandIns/pollenwind-standins" "${standins[@]}" >"$work/standins.log" 2>&1 &
pids+=($!)
routerPids=()
for ((i = 0; i < routers; i++)); do
    address=$net.10.$((i + 1))
    cat >"$work/router-$i.json" <<SETTINGS
{"vm":"vm-$i","zone":"${zones[i % 3]}",
 "listen":{"callers":"$address:8080","admin":"$address:8081","peers":"$address:8082"},
 "store":{"endpoint":"$net.1.1:2379"},"seed_peers":["$net.10.1:8082"],
 "secrets":{"cluster":"control-cluster-secret","admin":"$token"},"log":{"level":"error"}}
SETTINGS
    "$programs/Pollenwindd/pollenwindd" --settings "$work/router-$i.json" >"$work/router-$i.log" 2>&1 &
    routerPids+=($!)
    pids+=($!)
done
sleep 2
document="{\\\"zones\\\":[\\\"a\\\",\\\"b\\\",\\\"c\\\"],\\\"services\\\":{\\\"fitter\\\":{\\\"version\\\":\\\"v1\\\",\\\"upstreams\\\":[${upstreams%,}]}},\\\"organisations\\\":{\\\"o\\\":{\\\"rate\\\":1000,\\\"burst\\\":10000}}}"
curl -sS -f -H "Authorization: Bearer $token" "http://$net.10.1:8081/admin/commands/apply" \
    -d "{\"change\":\"c\",\"operator\":\"bench\",\"document\":\"$document\"}" >/dev/null
sleep 15
calls() { curl -sS "http://$net.1.1:2379/stand-in/state" | grep -o "\"$1\":[0-9]*" | cut -d: -f2; }
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
counter() { curl -sS "http://$net.10.$1:8081/metrics" | awk -v name="pollenwind_$2" '$1 == name {print $2}'; }
callsBefore=$(calls calls)
writesBefore=$(calls writes)
ticksBefore=0
sentBefore=0
for ((i = 0; i < routers; i++)); do
    ticksBefore=$((ticksBefore + $(ticks "${routerPids[i]}")))
    sentBefore=$((sentBefore + $(counter $((i + 1)) peer_bytes_sent_total)))
done
sleep "$seconds"
ticksAfter=0
sentAfter=0
memory=0
for ((i = 0; i < routers; i++)); do
    ticksAfter=$((ticksAfter + $(ticks "${routerPids[i]}")))
    sentAfter=$((sentAfter + $(counter $((i + 1)) peer_bytes_sent_total)))
    memory=$((memory + $(awk '/VmRSS/ {print $2}' "/proc/${routerPids[i]}/status")))
done
callsAfter=$(calls calls)
writesAfter=$(calls writes)
awk -v n="$routers" -v s="$seconds" -v t=$((ticksAfter - ticksBefore)) -v b=$((sentAfter - sentBefore)) -v m="$memory" \
    -v c=$((callsAfter - callsBefore)) -v w=$((writesAfter - writesBefore)) -v watches="$(calls watches)" 'BEGIN {
    printf "%d routers: each %.2f%% of a core, %.1f MB resident, %.0f peer bytes/s sent; store %.1f calls/s, %.1f writes/s, %d watches\n",
        n, t / n / s, m / n / 1024, b / n / s, c / s, w / s, watches }'

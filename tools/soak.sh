#!/usr/bin/env bash
# Runs 9 routers in 3 zones and the stand-ins as processes, injects random faults and checks the guarantees.
# Usage: tools/soak.sh [--seed N] [--minutes M | --seconds S] [--engines N] [--build FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1
seconds=60
engines=9
build=build
while [ $# -gt 0 ]; do
    case $1 in
    --seed) seed=$2 ;;
    --minutes) seconds=$(($2 * 60)) ;;
    --seconds) seconds=$2 ;;
    --engines) engines=$2 ;;
    --build) build=$2 ;;
    *)
        echo "usage: tools/soak.sh [--seed N] [--minutes M | --seconds S] [--engines N] [--build FOLDER]" >&2
        exit 2
        ;;
    esac
    shift 2
done
programs=$build/Source/Programs
work=$(mktemp -d)
export POLLENWIND_TOKEN=soak-admin-token-0123456789
net=127.60

# Each router runs in a loop that restarts it when it exits, as the platform replaces a VM.
touch "$work/running"
children=()
cleanup() {
    rm -f "$work/running"
    for file in "$work"/*.pid; do
        [ -s "$file" ] && kill -9 "$(cat "$file")" 2>/dev/null || true
    done
    for pid in "${children[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT

zones=(a b c)
standins=(--store "$net.1.1:2379" --piece-tokens 64 --cache-pieces 96 --prefill-us 20 --decode-us 4000)
soak=(--store "$net.1.1:2379" --model fitter --seed "$seed" --seconds "$seconds")
upstreams=""
for ((i = 0; i < engines; i++)); do
    standins+=(--engine "fitter,v1,$net.2.$((i + 1)):9001")
    soak+=(--engine "$net.2.$((i + 1)):9001")
    upstreams+="{\"name\":\"engine-$i\",\"address\":\"$net.2.$((i + 1)):9001\",\"zone\":\"${zones[i % 3]}\"},"
done
runners=""
for i in 0 1 2; do
    standins+=(--plain "v1,$net.3.$((i + 1)):9001")
    soak+=(--plain "$net.3.$((i + 1)):9001")
    runners+="{\"name\":\"booking-$i\",\"address\":\"$net.3.$((i + 1)):9001\",\"zone\":\"${zones[i]}\"},"
done
organisations=""
for i in 0 1 2 3 4; do
    organisations+="\"org-$i\":{\"rate\":200000,\"burst\":1000000},"
    soak+=(--organisation "org-$i")
done
cat >"$work/services.json" <<DOCUMENT
{"zones":["a","b","c"],
 "services":{
  "fitter":{"version":"v1","piece_tokens":64,"upstreams":[${upstreams%,}]},
  "booking":{"kind":"plain","version":"v1","upstreams":[${runners%,}],
   "routes":[{"method":"POST","path":"/bookings","call":"non-idempotent","cost_tokens":10}]}},
 "organisations":{${organisations%,}}}
DOCUMENT

"$programs/PollenwindStandIns/pollenwind-standins" "${standins[@]}" >"$work/standins.log" 2>&1 &
children+=($!)
seeds=""
for ((i = 0; i < 9; i++)); do
    seeds+="\"$net.10.$((i + 1)):8082\","
done
for ((i = 0; i < 9; i++)); do
    address=$net.10.$((i + 1))
    cat >"$work/router-$i.json" <<SETTINGS
{"vm":"vm-$i","zone":"${zones[i % 3]}",
 "listen":{"callers":"$address:8080","admin":"$address:8081","peers":"$address:8082"},
 "store":{"endpoint":"$net.1.1:2379"},
 "seed_peers":[${seeds%,}],
 "secrets":{"cluster":"soak-cluster-secret-0123","admin":"$POLLENWIND_TOKEN"},
 "timeouts":{"token_gap_ms":1500,"first_token_ms":4000,"request_ms":20000},
 "shutdown":{"listen_ms":500,"limit_ms":30000},
 "log":{"level":"warn"}}
SETTINGS
    (
        while [ -e "$work/running" ]; do
            "$programs/Pollenwindd/pollenwindd" --settings "$work/router-$i.json" >>"$work/router-$i.log" 2>&1 &
            echo $! >"$work/router-$i.pid"
            wait $! 2>/dev/null || true
            sleep 0.3
        done
    ) &
    children+=($!)
    soak+=(--router "$address:8080,$address:8081,$work/router-$i.pid,$work/router-$i.log")
done
sleep 1.5
printf '{"change":"soak","operator":"soak","document":%s}' \
    "$(sed 's/"/\\"/g' "$work/services.json" | tr -d '\n' | sed 's/^/"/; s/$/"/')" >"$work/apply.json"
curl -sS -f -H "Authorization: Bearer $POLLENWIND_TOKEN" "http://$net.10.1:8081/admin/commands/apply" \
    --data-binary "@$work/apply.json" >/dev/null
status=0
"$programs/PollenwindSoak/pollenwind-soak" "${soak[@]}" || status=$?
if [ "$status" -ne 0 ]; then
    echo "repeat with: tools/soak.sh --seed $seed --seconds $seconds --engines $engines"
    tail -n 3 "$work"/router-*.log
fi
exit "$status"

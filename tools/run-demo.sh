#!/usr/bin/env bash
# Builds everything, runs a store, two engines and a booking runner (all stand-ins) and one router on the loopback
# interface, and shows a chat, a booking, a rejected key and the status of the router. Exits with 0 if all steps succeed.
# Usage: tools/run-demo.sh [--keep]    --keep leaves the processes running and prints how to use and stop them.
set -euo pipefail
cd "$(dirname "$0")/.."

keep=no
case "${1:-}" in
    "") ;;
    --keep) keep=yes ;;
    *)
        echo "usage: tools/run-demo.sh [--keep]" >&2
        exit 2
        ;;
esac

callers=127.0.40.10:8080
admin=127.0.40.10:8081
store=127.0.40.4:2379
model=fitter
scratch=$(mktemp -d)
pids=()

# Terminates only processes that this script started.
finish() {
    local status=$?
    if [ "$status" -ne 0 ]; then
        echo "demo FAILED in step: ${step:-start}" >&2
        tail -n 5 "$scratch"/*.log >&2 2>/dev/null || true
    fi
    if [ "$keep" = no ] || [ "$status" -ne 0 ]; then
        for pid in "${pids[@]}"; do
            kill "$pid" 2>/dev/null || true
        done
        for pid in "${pids[@]}"; do
            wait "$pid" 2>/dev/null || true
        done
        rm -rf "$scratch"
    fi
    exit "$status"
}
trap finish EXIT

begin() {
    step=$1
    echo
    echo "== $1"
}

# Waits up to 10 s until a URL returns status 200, as long as a process is running.
wait_for() {
    local url=$1 pid=$2
    for _ in $(seq 100); do
        kill -0 "$pid" 2>/dev/null || return 1
        [ "$(curl -s -o /dev/null -m 1 -w '%{http_code}' "$url")" = 200 ] && return 0
        sleep 0.1
    done
    return 1
}

begin "install and build"
tools/install-deps.sh
tools/build.sh build
ctl=build/Source/Programs/Pollenwindctl/pollenwindctl

begin "start the stand-ins and the router"
build/Source/Programs/PollenwindStandIns/pollenwind-standins --store "$store" \
    --engine "$model,v1,127.0.40.1:9001" --engine "$model,v1,127.0.40.2:9001" \
    --plain v1,127.0.40.3:9001 --piece-tokens 64 >"$scratch/standins.log" 2>&1 &
pids+=($!)
wait_for http://127.0.40.3:9001/health "${pids[0]}"
build/Source/Programs/Pollenwindd/pollenwindd --settings examples/demo/router.json >"$scratch/router.log" 2>&1 &
pids+=($!)
wait_for "http://$admin/health" "${pids[1]}"
echo "stand-ins: process ${pids[0]}; router: process ${pids[1]}"

# The token of the demo is public; a real one belongs in a file that only the operator can read.
(umask 077 && sed -n 's/.*"admin": "\(demo-[^"]*\)".*/\1/p' examples/demo/router.json >"$scratch/token")
export POLLENWIND_ROUTERS=$admin

begin "apply examples/demo/services.json"
"$ctl" apply examples/demo/services.json --token-file "$scratch/token"
wait_for "http://$admin/ready" "${pids[1]}"

begin "give the organisation garage-chain a key"
"$ctl" key give garage-chain --token-file "$scratch/token" >"$scratch/given"
key=$(sed -n 's/^key //p' "$scratch/given")
id=$(sed -n 's/^id //p' "$scratch/given")
[ -n "$key" ] && [ -n "$id" ]
grep '^in force on 1 of 1$' "$scratch/given"
echo "key $id (only this number is shown again)"
(umask 077 && printf 'Authorization: Bearer %s\n' "$key" >"$scratch/header")

begin "chat, streamed"
for _ in $(seq 50); do
    status=$(curl -sN -m 30 -o "$scratch/chat" -w '%{http_code}' "http://$callers/v1/chat/completions" \
        -H "@$scratch/header" -d '{"model":"fitter","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"How do I fit a roof rack to the long wheelbase van?"}]}')
    # Engines count as ready after their first health check.
    [ "$status" = 503 ] || break
    sleep 0.1
done
cat "$scratch/chat"
[ "$status" = 200 ] && grep -q '^data: \[DONE\]' "$scratch/chat"

begin "book a workshop visit"
status=$(curl -s -m 30 -o "$scratch/booking" -w '%{http_code}' "http://$callers/bookings" \
    -H "@$scratch/header" -H 'Content-Type: application/json' -d '{"day":"2027-03-01","job":"roof rack"}')
cat "$scratch/booking"
echo
[ "$status" = 200 ] || [ "$status" = 201 ]

begin "withdraw the key; the next call is refused"
"$ctl" key withdraw "$id" --token-file "$scratch/token"
status=$(curl -s -m 30 -o "$scratch/refused" -w '%{http_code}' "http://$callers/v1/chat/completions" \
    -H "@$scratch/header" -d '{"model":"fitter","messages":[{"role":"user","content":"Hello"}]}')
cat "$scratch/refused"
[ "$status" = 401 ] && grep -q '"code":"key-withdrawn"' "$scratch/refused" && grep -q '"run":"not-run"' "$scratch/refused"

begin "status"
"$ctl" status --token-file "$scratch/token"

if [ "$keep" = yes ]; then
    begin "left running"
    "$ctl" key give garage-chain --token-file "$scratch/token" >"$scratch/given"
    key=$(sed -n 's/^key //p' "$scratch/given")
    cat <<END
callers        http://$callers
administration http://$admin (token file $scratch/token)
store          http://$store
processes      ${pids[*]} (stop them with: kill ${pids[*]})
logs           $scratch

curl -N http://$callers/v1/chat/completions -H 'Authorization: Bearer $key' -d '{"model":"fitter","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Hello"}]}'
END
else
    begin "stop"
    kill -TERM "${pids[1]}"
    wait "${pids[1]}"
    tail -n 1 "$scratch/router.log"
    unset 'pids[1]'
    echo "demo passed"
fi

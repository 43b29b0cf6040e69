#!/usr/bin/env bash
# Shows the log lines of one request in the logs of the gateways, followed by the last state changes, before the request
# ended, of the runners that it was sent to, of the store, the lease and the other VMs.
# Usage: tools/explain-request.sh REQUEST_ID LOG_FILE...
set -euo pipefail
if [ $# -lt 2 ]; then
    echo "usage: tools/explain-request.sh REQUEST_ID LOG_FILE..." >&2
    exit 2
fi
id=$1
shift
lines=$(grep -hF "\"request\":\"$id\"" "$@" || true)
if [ -z "$lines" ]; then
    echo "no line of request $id; its VM may have been killed before it wrote one, or left lines out (lines_left_out)" >&2
    exit 1
fi
field() { sed -nE "s/.*\"$1\":\"([^\"]*)\".*/\1/p"; }
echo "== request $id"
printf '%s\n' "$lines"
last=$(printf '%s\n' "$lines" | field time | sort | tail -n 1)
before() { awk -v last="$last" 'match($0, /"time":"[^"]*"/) && substr($0, RSTART + 8, RLENGTH - 9) <= last' | tail -n "$1"; }
printf '%s\n' "$lines" | field runner | sort -u | while read -r runner; do
    echo "== runner $runner, last changes before $last"
    grep -hF "\"runner\":\"$runner\"" "$@" | grep -vF '"request":' | before 4 || true
done
echo "== store, lease and other VMs, last changes before $last"
grep -hE '"event":"(store-down|store-up|lease-lost|lease-taken|vm-silent|configuration-adopted|process-st)' "$@" | before 6 || true

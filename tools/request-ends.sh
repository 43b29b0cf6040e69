#!/usr/bin/env bash
# Lists the requests in the logs of gateways that ended without a whole answer: VM, time, how they ended, the share of
# their time that was used, and whether the end fell beside a stop, a SIGHUP or a change of the configuration of that VM.
# Then counts them by VM and cause, and compares the ends per second beside changes with those at other times.
# Usage: tools/request-ends.sh [--window SECONDS] [--no-kills] [LOG_FILE...]
#   --window SECONDS  time after a SIGHUP or a change in which an end counts as beside it (3)
#   --no-kills        no process was killed from outside: requests that were lost with their process count as faults
# Reads standard input without files. A line may have the bench's prefix of time and VM; without it, a file holds the
# log of one VM.
# Exit code: 0 each end has a cause that the rules allow, 1 one has none, 2 usage or unreadable file, 3 no log line.
set -euo pipefail
window=3
kills=1
usage() {
    echo "usage: tools/request-ends.sh [--window SECONDS] [--no-kills] [LOG_FILE...]" >&2
    exit 2
}
while [[ ${1:-} == --* ]]; do
    case $1 in
    --window)
        [[ ${2:-} =~ ^[0-9]+([.][0-9]+)?$ ]] || usage
        window=$2
        shift 2
        ;;
    --no-kills)
        kills=0
        shift
        ;;
    *) usage ;;
    esac
done
for file in "$@"; do
    [ -r "$file" ] || { echo "cannot read $file" >&2; exit 2; }
done
# File names are not passed as arguments of awk, which takes NAME=VALUE for an assignment.
if [ $# -eq 0 ]; then
    cat
else
    for file in "$@"; do
        printf '#file %s\n' "$file"
        cat -- "$file"
        echo
    done
fi | awk -v window="$window" -v kills="$kills" '
function field(name,    from, rest) {
    from = index($0, "\"" name "\":\"")
    if (!from) return ""
    rest = substr($0, from + length(name) + 4)
    return match(rest, /^([^"\\]|\\.)*"/) ? substr(rest, 1, RLENGTH - 1) : rest
}
# Seconds of an ISO 8601 time, since 0000-03-01.
function seconds(text,    y, m) {
    y = substr(text, 1, 4) + 0
    m = substr(text, 6, 2) + 0
    if (m < 3) { y--; m += 12 }
    return (365 * y + int(y / 4) - int(y / 100) + int(y / 400) + int((153 * m - 457) / 5) + substr(text, 9, 2)) * 86400 \
        + substr(text, 12, 2) * 3600 + substr(text, 15, 2) * 60 + substr(text, 18, 6)
}
function startProcess() {
    boot[vm]++
    bootFrom[vm, boot[vm]] = now
    bootTo[vm, boot[vm]] = now
    isConfigured[vm] = 0
}
function newRecord() {
    records++
    recordVm[records] = vm
    recordBoot[records] = boot[vm]
    recordId[records] = id
    beganAt[records] = now
    timeTexts[records] = timeText
    return records
}
# Record of the request while it has no end.
function openRecord() {
    if (id == "") return newRecord()
    if (!((vm, id) in open)) open[vm, id] = newRecord()
    return open[vm, id]
}
function place(at, v, b) {
    if ((v, b) in stoppingAt && at >= stoppingAt[v, b]) return "stop"
    if (isBeside(hupAt, hups[v], v, at)) return "sighup"
    return isBeside(changeAt, changes[v], v, at) ? "change" : "other"
}
function isBeside(times, n, v, at,    i) {
    for (i = 1; i <= n; i++) if (at >= times[v, i] && at <= times[v, i] + window) return 1
    return 0
}
function addBound(at, from, to) { if (at > from && at < to) bounds[++boundCount] = at }
# Adds the time of one process, from the first to the last line about a request in all logs, by what it is beside.
function addTime(v, b,    from, to, i, j, it, part) {
    from = bootFrom[v, b] > firstRequestAt ? bootFrom[v, b] : firstRequestAt
    to = bootTo[v, b] < lastRequestAt ? bootTo[v, b] : lastRequestAt
    if (to <= from) return
    boundCount = 0
    bounds[++boundCount] = from
    for (i = 1; i <= hups[v]; i++) { addBound(hupAt[v, i], from, to); addBound(hupAt[v, i] + window, from, to) }
    for (i = 1; i <= changes[v]; i++) { addBound(changeAt[v, i], from, to); addBound(changeAt[v, i] + window, from, to) }
    if ((v, b) in stoppingAt) addBound(stoppingAt[v, b], from, to)
    bounds[++boundCount] = to
    for (i = 2; i <= boundCount; i++) {
        it = bounds[i]
        for (j = i - 1; j >= 1 && bounds[j] > it; j--) bounds[j + 1] = bounds[j]
        bounds[j + 1] = it
    }
    for (i = 1; i < boundCount; i++) {
        part = place((bounds[i] + bounds[i + 1]) / 2, v, b)
        timeOf[part, v] += bounds[i + 1] - bounds[i]
        timeOf[part, ""] += bounds[i + 1] - bounds[i]
    }
}
# Time limit of a request in ms: of its own line, else from the time that was left when it was placed first.
function limitOf(r) {
    isExact = timeoutMs[r] != ""
    if (isExact) return timeoutMs[r] + 0
    if (leftMs[r] == "" || usedMs[r] == "") return 0
    return leftMs[r] + usedMs[r] - (endedAt[r] - placedAt[r]) * 1000
}
# Cause that the rules allow for an end without a whole answer, or "" if there is none.
function excuse(r, limit) {
    if (closer[r] == "connection-left" || (ending[r] == "stopped" && closer[r] == "")) return "caller left"
    if (closer[r] == "") return "answered with an error"
    if (connectionEnd[r] == "request-timed-out" || connectionEnd[r] == "request-cut-off") return "request not whole"
    if (limit > 0 && usedMs[r] >= limit - (isExact ? 0 : 2)) return "deadline"
    if (connectionCause[r] == "" && code[r] ~ /^(connection-lost|connect-failed|protocol-error|mismatch)$/ \
        && cause[r] !~ /no memory/) return "runner broke off"
    # The rules allow it for requests that were sent up to 3 s after the signal.
    if (code[r] == "shutting-down" && (recordVm[r], recordBoot[r]) in stoppingAt && usedMs[r] != "" \
        && endedAt[r] - usedMs[r] / 1000 <= stoppingAt[recordVm[r], recordBoot[r]] + 3) return "runner at work at a stop"
    return ""
}
# Cause of a request without a line of its end, or "" if there is none that the rules allow.
function excuseMissing(r,    v, limit) {
    v = recordVm[r]
    limit = beganAt[r] + (leftMs[r] == "" ? 0 : leftMs[r] / 1000) + 1
    if ((v, recordBoot[r]) in isAborted) return ""
    if (recordBoot[r] < boot[v] || (v, recordBoot[r]) in stoppedAt)
        return kills && !((v, recordBoot[r]) in stoppedAt) ? "process ended" : ""
    if (leftOutAt[v] != "" && leftOutAt[v] >= beganAt[r]) return "lines left out"
    if (bootTo[v, recordBoot[r]] >= limit) return ""
    if (lastAt < limit) return "log ends"
    return kills ? "log of the VM ends" : ""
}
function add(v, key) {
    if (!((v, key) in counts)) keysOf[v, ++keyCount[v]] = key
    counts[v, key]++
}
function report(v, title,    i) {
    printf "%s\n", title
    for (i = 1; i <= keyCount[v]; i++) printf "  %6d  %s\n", counts[v, keysOf[v, i]], keysOf[v, i]
}
function compare(kind, v,    beside, other) {
    if (timeOf["change", v] + 0 == 0 || timeOf["other", v] + 0 == 0) return "no time beside changes or at other times"
    beside = ends[kind, "change", v] / timeOf["change", v]
    other = ends[kind, "other", v] / timeOf["other", v]
    return sprintf("%d in %.1f s beside changes (%.4f/s), %d in %.1f s at other times (%.4f/s), ratio %s", \
        ends[kind, "change", v], timeOf["change", v], beside, ends[kind, "other", v], timeOf["other", v], other, \
        other > 0 ? sprintf("%.2f", beside / other) : beside > 0 ? "infinite" : "-")
}
/^#file / { file = substr($0, 7); next }
{
    start = index($0, "{\"time\":\"")
    if (!start) next
    lines++
    if (start > 1 && $1 ~ /^-?[0-9.]+$/ && $2 !~ /^\{/) {
        now = $1 + 0
        timeText = $1
        vm = $2
    } else {
        timeText = field("time")
        now = seconds(timeText)
        vm = file == "" ? "-" : file
    }
    event = field("event")
    id = field("request")
    if (!(vm in boot)) { vms[++vmCount] = vm; startProcess() }
    if (event == "process-started") {
        name[vm] = field("vm")
        if (hasStarted[vm, boot[vm]]) startProcess()
        hasStarted[vm, boot[vm]] = 1
    }
    bootTo[vm, boot[vm]] = now
    if (lines == 1 || now > lastAt) lastAt = now
    isRequest = 1
}
event == "process-stopping" { stoppingAt[vm, boot[vm]] = now }
event == "process-stopped" { stoppedAt[vm, boot[vm]] = now }
event == "process-aborted" { isAborted[vm, boot[vm]] = 1 }
event == "settings-read" { hupAt[vm, ++hups[vm]] = now }
# The first configuration of a process is no change.
event == "configuration-adopted" && isConfigured[vm]++ { changeAt[vm, ++changes[vm]] = now }
event == "placed" {
    r = openRecord()
    if (leftMs[r] == "") { leftMs[r] = field("left_ms"); placedAt[r] = now }
    wasPlaced[r] = 1
}
event == "finished" && id != "" { r = openRecord(); ending[r] = event; delete open[vm, id] }
event == "failed" || event == "refused" || event == "stopped" {
    r = openRecord()
    ending[r] = event
    endedAt[r] = now
    timeTexts[r] = timeText
    usedMs[r] = field("ms") == "" ? "" : field("ms") + 0
    timeoutMs[r] = field("timeout_ms")
    code[r] = field("code")
    cause[r] = field("cause")
    if (id != "") { delete open[vm, id]; ended[vm, id] = r }
}
event == "connection-closed" || event == "connection-left" {
    # The line of a connection follows that of its request, after 10 s (writeTimeout) if the caller does not read.
    if (id != "" && !((vm, id) in open) && (vm, id) in ended && now - endedAt[ended[vm, id]] < 11) r = ended[vm, id]
    else { r = openRecord(); ending[r] = ""; endedAt[r] = now; timeTexts[r] = timeText }
    if (id != "") { delete ended[vm, id]; delete open[vm, id] }
    closer[r] = event
    connectionEnd[r] = field("end")
    connectionCause[r] = field("cause")
    sinceMs[r] = field("since_first_byte_ms")
}
event ~ /^(queued|placed|diverted|repeated|resumed|finished|refused|failed|stopped|connection-closed|connection-left)$/ {
    if (firstRequestAt == "" || now < firstRequestAt) firstRequestAt = now
    if (lastRequestAt == "" || now > lastRequestAt) lastRequestAt = now
    skipped = field("lines_left_out") + 0
    if (skipped) {
        leftOut[event] += skipped
        if (event !~ /^(queued|placed|diverted|repeated|resumed)$/) leftOutAt[vm] = now
    }
}
END {
    if (!lines) { print "no log line" > "/dev/stderr"; exit 3 }
    for (i = 1; i <= vmCount; i++) for (b = 1; b <= boot[vms[i]]; b++) addTime(vms[i], b)
    print "== ends without a whole answer: VM, time, request, end, used time, beside, cause that the rules allow"
    for (r = 1; r <= records; r++) {
        if (ending[r] == "finished" || (ending[r] == "refused" && closer[r] == "")) continue
        isMissing = ending[r] == "" && closer[r] == ""
        if (isMissing && !wasPlaced[r]) continue
        v = recordVm[r]
        at = isMissing ? beganAt[r] : endedAt[r]
        limit = isMissing ? 0 : limitOf(r)
        share = limit > 0 ? usedMs[r] / limit : ""
        used = share == "" ? (sinceMs[r] == "" ? "-" : sinceMs[r] " ms") : \
            sprintf("%.3f (%d of %s%d ms)", share, usedMs[r], isExact ? "" : "about ", limit)
        allowed = isMissing ? excuseMissing(r) : excuse(r, limit)
        if (isMissing) end = "placed, no line of its end"
        else if (closer[r] == "") end = ending[r] " (" cause[r] ")"
        else end = closer[r] " " connectionEnd[r] (cause[r] connectionCause[r] == "" ? "" : \
            " (" (cause[r] == "" ? connectionCause[r] : cause[r]) ")")
        where = place(at, v, recordBoot[r])
        printf "%s %s %s | %s | %s | %s | %s\n", (v in name ? name[v] : v), timeTexts[r], \
            recordId[r] == "" ? "(no id)" : recordId[r], end, used, where, allowed == "" ? "NONE" : allowed
        # Addresses and numbers would make a cause of each end.
        gsub(/[0-9]+([.:][0-9]+)*/, "N", end)
        key = end ", " where ", " (allowed == "" ? "NO ALLOWED CAUSE" : allowed)
        add(v, key)
        add("", key)
        if (allowed == "") faults++
        if (share == "" || share < 0.7) {
            kind = closer[r] == "connection-closed" ? "closed" : ending[r] == "failed" && closer[r] == "" ? "failed" : ""
            if (kind == "closed" && allowed == "") {
                ends["cut", where, v]++
                ends["cut", where, ""]++
            }
            if (kind != "") {
                ends[kind, where, v]++
                ends[kind, where, ""]++
            }
        }
    }
    for (i = 1; i <= vmCount; i++) {
        v = vms[i]
        if (!keyCount[v]) continue
        report(v, "== " (v in name ? name[v] : v))
        if (ends["closed", "change", v] + ends["closed", "other", v])
            print "  below 0.7 of their time, closed by the VM: " compare("closed", v)
    }
    report("", sprintf("== all %d VMs", vmCount))
    print "== below 0.7 of their time (or of unknown time), without those beside a stop or a SIGHUP"
    print "  closed by a VM without an allowed cause: " compare("cut", "")
    print "  closed by a VM: " compare("closed", "")
    print "  failed with an error as the answer: " compare("failed", "")
    for (event in leftOut) printf "%d lines %s were left out by the rate limit\n", leftOut[event], event
    # Each of these lines may be a request that was cut.
    faults += leftOut["connection-closed"]
    printf "%d ends without a cause that the rules allow\n", faults
    exit faults > 0
}'

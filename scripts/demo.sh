#!/usr/bin/env bash
# Shows the system at work on loopback addresses: queries, an edit in force, a
# good and a bad version move, and a graceful stop. Exits with 0 when each
# step ended as it should.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
run=$(mktemp -d)
control=http://127.0.0.1:7300/control
caller=http://127.0.1.11:8080
export BRAMLEYMUX_ADMIN=127.0.1.11:8082
cli=$build/bin/bramleymux
load_pids=()

say() {
    printf '\n== %s\n' "$*"
}

stop_load() {
    for pid in "${load_pids[@]}"; do
        kill "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    load_pids=()
}

clean_up() {
    stop_load
    scripts/local_fleet.sh stop "$run"
    rm -rf "$run"
}
trap clean_up EXIT

# Sends queries to every VM until stopped. Each VM gets its own process, so
# that the rate is about the same for all.
start_load() { # service
    local ip
    for ip in 127.0.{1,2,3,4}.1{1,2}; do
        while :; do
            curl -sS -o /dev/null --rate 50/s \
                -X POST -d '{}' \
                "http://$ip:8080/v1/services/$1/routes/history?[1-100]" \
                >/dev/null 2>&1 || true
        done &
        load_pids+=("$!")
    done
}

add_move() { # name, service, seconds
    local start
    start=$(date +%s%3N)
    "$cli" --wait 5 add "move/$1" "name=$1" "service=$2" from=v1 to=v2 \
        "start_ms=$start" "deadline_ms=$((start + $3 * 1000))" soak_ms=3000 \
        state=active
}

wait_ready() {
    local answer
    for _ in $(seq 200); do
        answer=$(curl -s -X POST -d '{}' \
            "$caller/v1/services/exam-desk/routes/history" || true)
        [[ $answer == *'"missing":[]'* ]] && return 0
        sleep 0.1
    done
    echo "no whole answer" >&2
    return 1
}

say "start the platform, 16 targets in 4 zones and 8 daemons"
scripts/local_fleet.sh start "$run" "$build"
wait_ready
"$cli" status

say "a query: one answer over all shards, with its snapshot and coverage"
curl -sS -X POST -d '{"student": "4711"}' \
    "$caller/v1/services/exam-desk/routes/history" | cut -c1-300
echo

say "a non-idempotent request, sent twice with one key: it runs once"
for ip in 127.0.1.11 127.0.3.12; do
    curl -sS -X POST -H 'Idempotency-Key: exam-2026-17' \
        -d '{"key": "4711", "grade": "2 dan"}' \
        "http://$ip:8080/v1/services/exam-desk/routes/record" | cut -c1-120
    echo
done

say "an edit: take a zone out, wait until it is in force, bring it back"
"$cli" --wait 5 zone out north
"$cli" --wait 5 zone in north

say "a good version move"
start_load exam-desk
add_move good exam-desk 120
"$cli" move watch good --seconds 150
stop_load

say "a bad version move: half of the new version's requests fail"
curl -sS -X POST "$control" -d '{"match": {"service": "club-portal",
    "version": "v2"}, "faults": {"fail": {"probability": 0.5}}}' >/dev/null
start_load club-portal
add_move bad club-portal 120
code=0
"$cli" move watch bad --seconds 150 || code=$?
stop_load
[ "$code" -eq 8 ] || {
    echo "the bad move ended with $code instead of 8 (withdrawn)" >&2
    exit 1
}

say "graceful stop"
scripts/local_fleet.sh stop "$run"
grep -h daemon_stopped "$run"/vm-*.log | cut -d' ' -f5-
[ "$(grep -c 'callers_done=1 work_done=1' "$run"/vm-*.log | grep -c ':1$')" -eq 8 ]
say "done"

#!/usr/bin/env bash
# Demonstrates the system on loopback addresses: queries, an edit that takes
# effect, a good and a bad version move, and a graceful stop. Exits with 0 if every
# step gives the expected result. Usage: demo.sh [BUILD]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
run=$(mktemp -d)
control=http://127.0.0.1:7300/control
caller=http://127.0.1.11:8080
export BRAMLEYMUX_ADMIN=127.0.1.11:8082
cli=$build/bin/bramleymux
load_pids=()

print_step() {
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

# Sends queries to every VM until stop_load runs. A separate process for each VM
# keeps the rates about equal.
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

add_move() { # name, service, seconds to the deadline
    local start
    start=$(date +%s%3N)
    "$cli" --wait 5 add "move/$1" "name=$1" "service=$2" from=v1 to=v2 \
        "start_ms=$start" "deadline_ms=$((start + $3 * 1000))" soak_ms=3000 \
        state=active
}

wait_for_full_coverage() {
    local answer
    for _ in $(seq 200); do
        answer=$(curl -s -X POST -d '{}' \
            "$caller/v1/services/exam-desk/routes/history" || true)
        [[ $answer == *'"missing":[]'* ]] && return 0
        sleep 0.1
    done
    echo "timed out waiting for an answer from all shards" >&2
    return 1
}

print_step "start the platform, 16 targets in 4 zones and 8 daemons"
scripts/local_fleet.sh start "$run" "$build"
wait_for_full_coverage
"$cli" status

print_step "a query: one answer over all shards, with its snapshot and coverage"
curl -sS -X POST -d '{"student": "4711"}' \
    "$caller/v1/services/exam-desk/routes/history" | cut -c1-300
echo

print_step "a non-idempotent request, sent twice with one key: it runs once"
for ip in 127.0.1.11 127.0.3.12; do
    curl -sS -X POST -H 'Idempotency-Key: exam-2026-17' \
        -d '{"key": "4711", "grade": "2 dan"}' \
        "http://$ip:8080/v1/services/exam-desk/routes/record" | cut -c1-120
    echo
done

print_step "an edit: take a zone out, wait until it is in force, bring it back"
"$cli" --wait 5 zone out north
"$cli" --wait 5 zone in north

print_step "a good version move"
start_load exam-desk
add_move good exam-desk 120
"$cli" move watch good --seconds 150
stop_load

print_step "a bad version move: half of the new version's requests fail"
curl -sS -X POST "$control" -d '{"match": {"service": "club-portal",
    "version": "v2"}, "faults": {"fail": {"probability": 0.5}}}' >/dev/null
start_load club-portal
add_move bad club-portal 120
code=0
"$cli" move watch bad --seconds 150 || code=$?
stop_load
[ "$code" -eq 8 ] || {
    echo "the bad move exited with $code instead of 8 (withdrawn)" >&2
    exit 1
}

print_step "graceful stop"
scripts/local_fleet.sh stop "$run"
grep -h daemon_stopped "$run"/vm-*.log | cut -d' ' -f5-
[ "$(grep -c 'callers_done=1 work_done=1' "$run"/vm-*.log | grep -c ':1$')" -eq 8 ]
print_step "done"

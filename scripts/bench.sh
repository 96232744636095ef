#!/usr/bin/env bash
# Runs the benchmark scenarios against a fleet of each policy in turn, on the same
# schedule, and writes a report to BUILD/bench. Usage: bench.sh [BUILD]
# Environment: QUICK=1 runs a few scenarios briefly; SCENARIOS="quiet zone" runs
# only the scenarios listed; SECONDS_EACH and SECONDS_MOVES set the duration of a
# scenario; CHECK=1 exits with 1 if a stated target is missed.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
bench=$build/bin/bramleymux_bench
out=$(pwd)/$build/bench
platform=127.1.0.1:9000
control=127.1.0.2:7300
declare -A pids=()
policies="baseline adaptive"

if [ "${QUICK:-0}" = 1 ]; then
    wide_scenarios="quiet stragglers edits"
    narrow_scenarios=""
    moves_scenarios=""
    seconds=3
    edits=10
else
    wide_scenarios="quiet stragglers cold zone edits replica repartition outage rolling"
    narrow_scenarios="overload"
    moves_scenarios="moves"
    seconds=${SECONDS_EACH:-12}
    edits=100
fi
if [ -n "${SCENARIOS:-}" ]; then
    wide_scenarios=""
    narrow_scenarios=""
    moves_scenarios=""
    for scenario in $SCENARIOS; do
        case $scenario in
        overload) narrow_scenarios=overload ;;
        moves) moves_scenarios=moves ;;
        *) wide_scenarios="$wide_scenarios $scenario" ;;
        esac
    done
fi

start_program() { # name, command...
    local name=$1
    shift
    "$@" >"$run/$name.out" 2>&1 &
    pids[$name]=$!
}

stop_program() { # name
    local pid=${pids[$1]:-}
    [ -n "$pid" ] || return 0
    unset "pids[$1]"
    kill -TERM "$pid" 2>/dev/null || true
    wait "$pid" || echo "$1 exited with $?" >&2
}

wait_for() { # description, command...
    local description=$1
    shift
    for _ in $(seq 600); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.05
    done
    echo "timed out waiting for $description" >&2
    return 1
}

start_vm() { # VM id
    start_program "$1" "$build/bin/bramleymuxd" --settings "$run/$1.ini"
}

wait_ready() { # VM id, caller address
    wait_for "$1" curl -fsS -m 1 "http://$2/readyz"
}

start_fleet() { # shape, policy
    run=$out/$1.$2
    rm -rf "$run"
    mkdir -p "$run"
    "$bench" config --shape "$1" --policy "$2" --directory "$run"
    start_program platform "$build/bin/platform_standin" \
        --listen "$platform" --config "$run/platform.json"
    start_program targets "$build/bin/target_standin" \
        --config "$run/targets.json" --control "$control"
    wait_for platform curl -fsS "http://$platform/v1/vms"
    wait_for targets curl -fsS "http://$control/control/stats"
    curl -fsS -X PUT -H 'If-None-Match: *' --data-binary "@$run/table.json" \
        "http://$platform/v1/objects/config/table" >/dev/null
    mapfile -t vms <"$run/vms.txt"
    local vm
    for vm in "${vms[@]}"; do
        start_vm "${vm%% *}"
    done
    for vm in "${vms[@]}"; do
        wait_ready "${vm%% *}" "${vm##* }"
    done
}

stop_fleet() {
    local vm name
    # Signals all VMs first, so that their shutdown delays overlap.
    for vm in "${vms[@]:-}"; do
        [ -z "${pids[${vm%% *}]:-}" ] ||
            kill -TERM "${pids[${vm%% *}]}" 2>/dev/null || true
    done
    for name in "${!pids[@]}"; do
        case $name in platform | targets) ;; *) stop_program "$name" ;; esac
    done
    stop_program targets
    stop_program platform
}

# Restarts every VM in turn. Waits for the load generator to create rolling.start,
# and creates rolling.done at the end.
replace_vms() {
    until [ -e "$run/rolling.start" ]; do sleep 0.1; done
    local vm
    for vm in "${vms[@]}"; do
        stop_program "${vm%% *}"
        start_vm "${vm%% *}"
        wait_ready "${vm%% *}" "${vm##* }"
    done
    touch "$run/rolling.done"
}

run_scenario() { # scenario, shape, policy
    echo "$1 $3" >&2
    "$bench" run --scenario "$1" --shape "$2" --policy "$3" \
        --directory "$run" --seconds "$seconds" --edits "$edits" \
        --warm-up "$warm_up" \
        --out "$out/$1.$3.json" &
    local pid=$!
    [ "$1" != rolling ] || replace_vms
    wait "$pid" || echo "$1 $3: the scenario failed" >&2
}

run_shape() { # shape, scenarios...
    local shape=$1 policy scenario
    shift
    [ $# -gt 0 ] || return 0
    for policy in $policies; do
        start_fleet "$shape" "$policy"
        warm_up=4
        for scenario in "$@"; do
            run_scenario "$scenario" "$shape" "$policy"
            warm_up=0
        done
        stop_fleet
    done
}

trap 'stop_fleet' EXIT
mkdir -p "$out"
rm -f "$out"/*.json "$out"/*.dat "$out"/*.svg
vms=()
# shellcheck disable=SC2086
run_shape wide $wide_scenarios
run_shape narrow ${narrow_scenarios:+"$narrow_scenarios"}
# The baseline policy has no version moves to compare with.
policies=adaptive
seconds=${SECONDS_MOVES:-100}
run_shape moves ${moves_scenarios:+"$moves_scenarios"}
status=0
"$bench" report --directory "$out" --out "$out/report.json" \
    ${CHECK:+--check} | tee "$out/report.md" || status=$?
scripts/plot_bench.sh "$out"
exit "$status"

#!/usr/bin/env bash
# Starts and stops the example fleet on loopback addresses: the platform
# stand-in, the targets of examples/targets.json in 4 zones, and 8 daemons.
# DIRECTORY holds their settings, logs and process ids.
# Usage: local_fleet.sh start|stop DIRECTORY [BUILD]
# Environment: POLICY, BALANCER_DELAY_MS (settings of the daemons).
set -euo pipefail
cd "$(dirname "$0")/.."
action=$1
run=$2
build=${3:-build}
platform=127.0.0.1:9000
control=127.0.0.1:7300
zones=(north east south west)

vm_address() { # zone number, VM number
    echo "127.0.$1.1$2"
}

write_settings() { # file, VM id, zone, IP address
    cat >"$1" <<INI
[vm]
id = $2
zone = $3
[listen]
caller = $4:8080
peer = $4:8081
admin = $4:8082
[platform]
address = $platform
[policy]
name = ${POLICY:-adaptive}
[stop]
balancer_delay_ms = ${BALANCER_DELAY_MS:-200}
[trace]
file = $run/$2.traces.json
sample = 0.05
[log]
file = $run/$2.log
INI
}

start_program() { # name, command...
    local name=$1
    shift
    "$@" >"$run/$name.out" 2>&1 &
    echo $! >"$run/$name.pid"
}

wait_for() { # description, command...
    local description=$1
    shift
    for _ in $(seq 300); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "timed out waiting for $description" >&2
    return 1
}

start_vm() { # zone index, VM number
    local zone=${zones[$1]}
    local id="vm-$zone-$2"
    local ip
    ip=$(vm_address $(($1 + 1)) "$2")
    write_settings "$run/$id.ini" "$id" "$zone" "$ip"
    start_program "$id" "$build/bin/bramleymuxd" --settings "$run/$id.ini"
}

start() {
    mkdir -p "$run"
    start_program platform "$build/bin/platform_standin" \
        --listen "$platform" --config examples/platform.json
    start_program targets "$build/bin/target_standin" \
        --config examples/targets.json --control "$control"
    wait_for platform curl -fsS "http://$platform/v1/vms"
    wait_for targets curl -fsS "http://$control/control/stats"
    curl -fsS -X PUT -H 'If-None-Match: *' \
        --data-binary '@examples/table.json' \
        "http://$platform/v1/objects/config/table" >/dev/null
    for zone in 0 1 2 3; do
        start_vm "$zone" 1
        start_vm "$zone" 2
    done
    for zone in 1 2 3 4; do
        for vm in 1 2; do
            wait_for "vm $zone/$vm" \
                curl -fsS "http://$(vm_address $zone $vm):8080/readyz"
        done
    done
}

stop_programs() { # names
    local pids=() name pid
    for name in "$@"; do
        [ -e "$run/$name.pid" ] || continue
        pid=$(cat "$run/$name.pid")
        kill -TERM "$pid" 2>/dev/null && pids+=("$pid")
        rm -f "$run/$name.pid"
    done
    for pid in "${pids[@]}"; do
        for _ in $(seq 300); do
            kill -0 "$pid" 2>/dev/null || break
            sleep 0.1
        done
    done
}

stop() {
    local zone vms=()
    for zone in "${zones[@]}"; do
        vms+=("vm-$zone-1" "vm-$zone-2")
    done
    stop_programs "${vms[@]}"
    stop_programs targets platform
}

"$action"

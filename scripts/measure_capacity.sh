#!/usr/bin/env bash
# Measures the resource use of a daemon at several fleet sizes, on loopback
# addresses 127.2.ZONE.VM: control CPU time, bytes and messages, memory, threads
# and platform calls of an idle fleet, and the CPU time of queries with 1 and with
# TARGETS sub-requests. Prints one line for each measurement.
# Usage: measure_capacity.sh RUN_DIRECTORY [BUILD]
# Environment: SIZES (VMs), ZONES, TARGETS, SETTLE_S, MEASURE_S, QUERIES,
# LOAD_SIZE (the fleet size that is also measured with queries and a version
# move; 0 for none).
set -euo pipefail
cd "$(dirname "$0")/.."
run=$1
build=${2:-build}
sizes=${SIZES:-8 16 32 64}
zones=${ZONES:-8}
settle_s=${SETTLE_S:-12}
# The period in which target reports are repeated is 30 s; a whole period gives
# each run the same number of repetitions.
measure_s=${MEASURE_S:-30}
queries=${QUERIES:-2000}
load_size=${LOAD_SIZE:-8}
platform=127.2.100.1:9000
control=127.2.100.2:7300
targets=${TARGETS:-8}
# Each keep-alive connection occupies a thread of the stand-in, and a VM keeps up
# to 8 of them.
platform_threads=1024
max_vms=90 # keeps the process count, including the stand-ins, below 100
pids=()
vms=()

stop_all() {
    local pid
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do
        for _ in $(seq 100); do
            kill -0 "$pid" 2>/dev/null || break
            sleep 0.1
        done
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    pids=()
    vms=()
}
trap stop_all EXIT

start_program() { # name, command...
    local name=$1
    shift
    "$@" >"$run/$name.out" 2>&1 &
    pids+=("$!")
}

wait_for() { # description, command...
    local description=$1
    shift
    for _ in $(seq 600); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "timed out waiting for $description" >&2
    return 1
}

vm_ip() { # VM index
    echo "127.2.$(($1 % zones + 1)).$((10 + $1 / zones))"
}

write_platform_config() { # VMs
    awk -v n="$1" -v zones="$zones" 'BEGIN {
        printf "{\"reads_per_second\":2000,\"writes_per_second\":300,"
        printf "\"vm_lag_ms\":2000,\"vms\":["
        for (i = 0; i < n; ++i) {
            ip = "127.2." (i % zones + 1) "." (10 + int(i / zones))
            printf "%s{\"id\":\"vm-%d\",\"zone\":\"z%d\",", (i ? "," : ""), i, i % zones + 1
            printf "\"caller_address\":\"%s:8080\",\"peer_address\":\"%s:8081\",", ip, ip
            printf "\"state\":\"live\"}"
        }
        print "]}"
    }' >"$run/platform.json"
}

# Service "wide" has one shard on each of $targets targets and a version v2 for
# the move; "narrow" has 8 shards on one target and "dense" 710 on one.
write_targets() {
    awk -v zones="$zones" -v n="$targets" '
    function address(i) { return (i % zones + 1) "." (1 + int(i / zones)) }
    function target(name, service, version, zone, ip, index_, of) {
        printf "%s{\"name\":\"%s\",\"address\":\"%s:7000\",", sep, name, ip
        printf "\"service\":\"%s\",\"version\":\"%s\",\"zone\":\"z%d\",", service, version, zone
        printf "\"placement\":{\"index\":%d,\"of\":%d,\"copies\":1}}", index_, of
        sep = ","
    }
    BEGIN {
        printf "{\"seed\":1,\"services\":["
        printf "{\"name\":\"wide\",\"row_count\":80,\"snapshots\":[{\"sequence\":1,\"shard_count\":%d}]},", n
        printf "{\"name\":\"narrow\",\"row_count\":80,\"snapshots\":[{\"sequence\":1,\"shard_count\":8}]},"
        printf "{\"name\":\"dense\",\"row_count\":710,\"snapshots\":[{\"sequence\":1,\"shard_count\":710}]}],"
        printf "\"defaults\":{\"slots\":16,\"queue\":64,\"connections\":64,\"connect_cost_ms\":1,"
        printf "\"cold\":{\"limit\":4,\"warm_after_requests\":50,\"cold_factor\":2},"
        printf "\"latency\":{\"median_us\":1000,\"sigma\":0.1}},\"targets\":["
        for (i = 0; i < n; ++i) {
            target("wide-" i, "wide", "v1", i % zones + 1, "127.3." address(i), i, n)
            target("wide-" i "-v2", "wide", "v2", i % zones + 1, "127.4." address(i), i, n)
        }
        target("narrow-0", "narrow", "v1", 1, "127.5.1.1", 0, 1)
        target("dense-0", "dense", "v1", 1, "127.5.1.2", 0, 1)
        print "]}"
    }' >"$run/targets.json"
}

write_table() { # file, moves (JSON)
    awk -v zones="$zones" -v n="$targets" -v moves="$2" '
    function address(i) { return (i % zones + 1) "." (1 + int(i / zones)) }
    function target(name, service, searcher, version, zone, ip) {
        printf "%s{\"name\":\"%s\",\"service\":\"%s\",\"searcher\":\"%s\",", sep, name, service, searcher
        printf "\"zone\":\"z%d\",\"version\":\"%s\",\"address\":\"%s:7000\",", zone, version, ip
        printf "\"weight\":1.0,\"draining\":false}"
        sep = ","
    }
    function searcher(service, name) {
        printf "%s{\"service\":\"%s\",\"name\":\"%s\",\"slots\":16,\"connections\":64,", sep, service, name
        printf "\"cold_limit\":4,\"connect_cost_ms\":1}"
        sep = ","
    }
    BEGIN {
        printf "{\"zones\":["
        for (z = 1; z <= zones; ++z)
            printf "%s{\"name\":\"z%d\",\"region\":\"main\",\"weight\":1.0,\"out\":false}", (z == 1 ? "" : ","), z
        printf "],\"services\":["
        printf "{\"name\":\"wide\",\"worth\":1.0,\"floor_share\":0.1,\"min_coverage\":0.0},"
        printf "{\"name\":\"narrow\",\"worth\":1.0,\"floor_share\":0.1,\"min_coverage\":0.0},"
        printf "{\"name\":\"dense\",\"worth\":1.0,\"floor_share\":0.1,\"min_coverage\":0.0}],"
        printf "\"routes\":["
        printf "{\"service\":\"wide\",\"name\":\"history\",\"worth\":1.0,\"idempotent\":true},"
        printf "{\"service\":\"narrow\",\"name\":\"history\",\"worth\":1.0,\"idempotent\":true},"
        printf "{\"service\":\"dense\",\"name\":\"history\",\"worth\":1.0,\"idempotent\":true}],"
        printf "\"searchers\":["
        for (i = 0; i < n; ++i) searcher("wide", "s" i)
        searcher("narrow", "s0")
        searcher("dense", "s0")
        printf "],\"versions\":["
        printf "{\"service\":\"wide\",\"name\":\"v1\",\"weight\":1.0,\"max_share\":1.0},"
        printf "{\"service\":\"wide\",\"name\":\"v2\",\"weight\":1.0,\"max_share\":1.0},"
        printf "{\"service\":\"narrow\",\"name\":\"v1\",\"weight\":1.0,\"max_share\":1.0},"
        printf "{\"service\":\"dense\",\"name\":\"v1\",\"weight\":1.0,\"max_share\":1.0}],"
        printf "\"targets\":["
        sep = ""
        for (i = 0; i < n; ++i) {
            target("wide-" i, "wide", "s" i, "v1", i % zones + 1, "127.3." address(i))
            target("wide-" i "-v2", "wide", "s" i, "v2", i % zones + 1, "127.4." address(i))
        }
        target("narrow-0", "narrow", "s0", "v1", 1, "127.5.1.1")
        target("dense-0", "dense", "s0", "v1", 1, "127.5.1.2")
        printf "],\"moves\":%s}\n", moves
    }' >"$1"
}

write_settings() { # VM index
    local ip
    ip=$(vm_ip "$1")
    cat >"$run/vm-$1.ini" <<INI
[vm]
id = vm-$1
zone = z$(($1 % zones + 1))
[listen]
caller = $ip:8080
peer = $ip:8081
admin = $ip:8082
[platform]
address = $platform
[stop]
balancer_delay_ms = 100
[log]
file = $run/vm-$1.log
level = warning
INI
}

start_fleet() { # VMs
    local i
    write_platform_config "$1"
    write_targets
    write_table "$run/table.json" "[]"
    start_program platform "$build/bin/platform_standin" \
        --listen "$platform" --config "$run/platform.json" \
        --threads "$platform_threads"
    start_program targets "$build/bin/target_standin" \
        --config "$run/targets.json" --control "$control"
    wait_for platform curl -fsS "http://$platform/v1/vms"
    wait_for targets curl -fsS "http://$control/control/stats"
    curl -fsS -X PUT -H 'If-None-Match: *' --data-binary "@$run/table.json" \
        "http://$platform/v1/objects/config/table" >/dev/null
    for ((i = 0; i < $1; ++i)); do
        write_settings "$i"
        start_program "vm-$i" "$build/bin/bramleymuxd" --settings "$run/vm-$i.ini"
        vms+=("${pids[-1]}")
    done
    for ((i = 0; i < $1; ++i)); do
        wait_for "vm-$i" curl -fsS "http://$(vm_ip "$i"):8080/readyz"
    done
}

# Writes one line for each VM: control CPU time in us, control bytes in and out,
# peer messages in and out, CPU clock ticks, memory in KB, threads and time in ns.
sample() { # file
    local i pid status
    for i in "${!vms[@]}"; do
        pid=${vms[$i]}
        status=$(curl -fsS "http://$(vm_ip "$i"):8082/v1/status")
        {
            for name in control_cpu_us control_bytes_in control_bytes_out \
                peer_messages_in peer_messages_out; do
                grep -o "\"$name\": *[0-9]*" <<<"$status" | head -1 | grep -o '[0-9]*$'
            done
            awk '{ sub(/^.*\) /, ""); print $12 + $13 }' "/proc/$pid/stat"
            awk '/^VmRSS|^Threads/ { print $2 }' "/proc/$pid/status"
            date +%s%N
        } | paste -sd' '
    done >"$1"
}

platform_stats() { curl -fsS "http://$platform/control/stats"; }

# Prints the mean and the maximum over the VMs of each rate between two samples,
# and of memory and threads at the second.
report() { # label, VMs, before, after
    paste -d' ' "$3" "$4" | awk -v label="$1" -v n="$2" -v zones="$zones" \
        -v hz="$(getconf CLK_TCK)" '
    {
        t = ($18 - $9) / 1e9
        v[1] = ($10 - $1) / t / 1e4; v[2] = ($15 - $6) / hz / t * 100
        v[3] = ($11 - $2) / t; v[4] = ($12 - $3) / t
        v[5] = ($13 - $4) / t; v[6] = ($14 - $5) / t
        v[7] = $16 / 1024; v[8] = $17
        for (k = 1; k <= 8; ++k) { sum[k] += v[k]; if (v[k] > max[k]) max[k] = v[k] }
    }
    END {
        split("control_cpu_% process_cpu_% bytes_in/s bytes_out/s messages_in/s messages_out/s rss_MB threads", name, " ")
        printf "%s N=%d zones=%d", label, n, zones
        for (k = 1; k <= 8; ++k) printf " %s=%.3f(max %.3f)", name[k], sum[k] / NR, max[k]
        print ""
    }'
}

# Reports the resource use over $measure_s seconds, and the platform's counters
# before and after.
measure() { # label, VMs
    sample "$run/before"
    platform_stats >"$run/platform.before"
    sleep "$measure_s"
    sample "$run/after"
    platform_stats >"$run/platform.after"
    report "$1" "$2" "$run/before" "$run/after"
    echo "$1 N=$2 platform_before $(tr -d '\n ' <"$run/platform.before")"
    echo "$1 N=$2 platform_after $(tr -d '\n ' <"$run/platform.after")"
}

# Prints the CPU time of all processes in clock ticks.
process_ticks() { # pids
    local pid
    for pid in "$@"; do cat "/proc/$pid/stat"; done |
        awk '{ sub(/^.*\) /, ""); sum += $12 + $13 } END { print sum }'
}

# Sends a number of queries to VM 0, 4 at a time, and prints the CPU time of
# all daemons and of VM 0.
query_cost() { # service, queries
    local before after entry_before entry_after begin end ok
    awk -v n="$2" -v url="http://$(vm_ip 0):8080/v1/services/$1/routes/history" \
        'BEGIN { for (i = 0; i < n; ++i) print "url = \"" url "\"\noutput = \"/dev/null\"" }' \
        >"$run/urls"
    before=$(process_ticks "${vms[@]}")
    entry_before=$(process_ticks "${vms[0]}")
    begin=$(date +%s%N)
    ok=$(curl -s -Z --parallel-max 4 -H 'Content-Type: application/json' \
        -H 'X-Deadline-Ms: 2000' --data '{"text":"a"}' -w '%{http_code}\n' \
        -K "$run/urls" 2>/dev/null | grep -c '^200$' || true)
    end=$(date +%s%N)
    after=$(process_ticks "${vms[@]}")
    entry_after=$(process_ticks "${vms[0]}")
    awk -v s="$1" -v n="$2" -v ok="$ok" -v hz="$(getconf CLK_TCK)" \
        -v ticks=$((after - before)) -v entry=$((entry_after - entry_before)) \
        -v ns=$((end - begin)) 'BEGIN {
        printf "queries service=%s sent=%d status_200=%d seconds=%.2f", s, n, ok, ns / 1e9
        printf " cpu_s=%.2f cpu_us_per_query=%.0f entry_vm_us_per_query=%.0f\n",
            ticks / hz, ticks / hz * 1e6 / n, entry / hz * 1e6 / n
    }'
}

# Starts a version move of service "wide" from v1 to v2.
start_move() {
    local now
    now=$(date +%s)000
    write_table "$run/moved.json" "[{\"name\":\"m1\",\"service\":\"wide\",\"from\":\"v1\",\"to\":\"v2\",\"start_ms\":$now,\"deadline_ms\":$((now + 600000)),\"soak_ms\":60000,\"state\":\"active\"}]"
    curl -fsS -X PUT -H 'If-Match: 1' --data-binary "@$run/moved.json" \
        "http://$platform/v1/objects/config/table" >/dev/null
}

for n in $sizes; do
    if ((n > max_vms)); then
        echo "N=$n is above $max_vms" >&2
        exit 2
    fi
done
mkdir -p "$run"
echo "measured $(date -u +%FT%TZ) processors=$(nproc) load=$(cut -d' ' -f1-3 /proc/loadavg)"
for n in $sizes; do
    start_fleet "$n"
    sleep "$settle_s"
    measure idle "$n"
    if ((n == load_size)); then
        for _ in 1 2; do
            for service in narrow dense wide; do
                query_cost "$service" "$queries"
            done
        done
        start_move
        sleep 2
        query_cost wide $((measure_s * 600)) &
        load_pid=$!
        sleep 1
        measure move_and_queries "$n"
        wait "$load_pid"
    fi
    stop_all
done

#!/usr/bin/env bash
# Runs the test programs of a build directory. Tests named in KNOWN-RED.txt
# are printed and excluded; every other failure fails the run.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
excluded=()
if [ -s KNOWN-RED.txt ]; then
    echo "known failures (KNOWN-RED.txt):"
    cat KNOWN-RED.txt
    while IFS= read -r name; do
        excluded+=("~$name")
    done < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi
"$build/bin/bramleymux_tests" "*" "${excluded[@]}"

#!/usr/bin/env bash
# Runs the test programs of a build directory. Prints KNOWN-RED.txt and excludes
# the tests it names; any other failure fails the run. Usage: run_tests.sh [BUILD]
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
# Fixed seeds make test runs repeatable.
export RC_PARAMS=${RC_PARAMS:-seed=20261204}
export FUZZ_SEED=${FUZZ_SEED:-1} FUZZ_RUNS=${FUZZ_RUNS:-20}
"$build/bin/bramleymux_tests" "~[.]" "${excluded[@]}"
"$build/bin/bramleymux_fuzz" "~[.]" "${excluded[@]}"
# The bounds of the soak have not been tried on the slower sanitized programs.
if grep -q '^BRAMLEYMUX_SANITIZE:STRING=$' "$build/CMakeCache.txt"; then
    "$build/bin/bramleymux_soak" --seed "${SOAK_SEED:-1}" \
        --seconds "${SOAK_SECONDS:-30}"
fi

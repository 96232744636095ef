#!/usr/bin/env bash
# Runs clang-tidy on every translation unit of src/, tools/ and platform/.
# Usage: tidy.sh [BUILD]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
git ls-files -z --cached --others --exclude-standard 'src/*.cpp' 'tools/*.cpp' 'platform/*.cpp' |
    xargs -0 -r -n 1 -P "$(nproc)" clang-tidy --quiet -p "$build" 2>/dev/null

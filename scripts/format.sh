#!/usr/bin/env bash
# Formats the C++ sources; with --check, changes nothing and fails if a file is
# not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files -z --cached --others --exclude-standard '*.cpp' '*.hpp' |
    xargs -0 -r clang-format "${mode[@]}"

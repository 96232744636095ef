#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run.
exec "$(dirname "$0")/../common/run_case.sh" "$(dirname "$0")"

#!/bin/sh
exec "$(dirname "$0")/../common-3/run_case.sh" "$(dirname "$0")"

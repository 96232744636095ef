#!/bin/sh
# Runs case 10; see claim.txt. Needs the build of the deploy file and
# review/build-2.sh.
exec "$(dirname "$0")/../common-2/run_case.sh" 10

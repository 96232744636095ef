#!/bin/sh
# Runs case 10; see claim.txt. Needs the build of the deploy file and
# review/build-2.sh.
cd "$(dirname "$0")/../.."
[ -x target/review-2/case-10 ] && [ -x target/bin/bramleymux_entry ] || exit 2
exec target/review-2/case-10 review/10

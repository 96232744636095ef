#!/bin/sh
# Runs the program of one case from the repository root, with a temporary folder
# and within the time limit. Argument: the number of the case. Processes that
# the program started end with it.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case-$1
if [ ! -x "$program" ] || [ ! -x target/bin/bramleymux_entry ]; then
    echo "build with the deploy file and review/build-2.sh first" >&2
    exit 2
fi
REVIEW_FOLDER=$(mktemp -d) || exit 2
export REVIEW_FOLDER
timeout -s KILL 118 "$program" "review/$1"
code=$?
rm -rf "$REVIEW_FOLDER"
[ "$code" -le 2 ] || code=2
exit "$code"

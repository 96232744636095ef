#!/usr/bin/env bash
# Runs the program of one case from the repository root, with a temporary
# folder, and ends all that it started. Argument: the folder of the case.
case_dir=$(cd "$1" && pwd)
root=$(cd "$case_dir/../.." && pwd)
program=$root/review/build/case-$(basename "$case_dir")
if [ ! -x "$program" ] || [ ! -x "$root/target/bin/bramleymux_entry" ]; then
    echo "build with the deploy file and review/build.sh first" >&2
    exit 2
fi
REVIEW_DIR=$(mktemp -d)
export REVIEW_DIR REVIEW_RECORD=$case_dir/record.txt
cd "$root" || exit 2
timeout -s KILL 110 "$program"
code=$?
# A program that was ended left its VMs' ids here.
if [ -e "$REVIEW_DIR/pids" ]; then
    while read -r pid; do
        kill -KILL "$pid" 2>/dev/null
    done <"$REVIEW_DIR/pids"
fi
rm -rf "$REVIEW_DIR"
[ "$code" -gt 2 ] && code=2
exit "$code"

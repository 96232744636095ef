#!/bin/sh
# run_case.sh FOLDER: runs the case of a folder with a temporary folder of its
# own. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run.
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$root/target/review-3/case-$(basename "$folder")"
[ -x "$program" ] && [ -x "$root/target/bin/bramleymux_entry" ] || exit 2
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
timeout -k 1 110 "$program" "$root" "$scratch" "$folder"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"

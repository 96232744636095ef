#!/bin/sh
# Builds the cases of the second review, with their stand-ins, into
# target/review-2/. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[6-9]/case.cpp review/10/case.cpp; do
    [ -f "$source" ] || continue
    name=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread "$source" \
        -o "target/review-2/case-$name"
done

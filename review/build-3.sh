#!/bin/sh
# Builds the cases 11 to 15, which hold all stand-ins that they start, into
# target/review-3. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cpp
do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread \
        "$source" -o "target/review-3/case-$number"
done

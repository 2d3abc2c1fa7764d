#!/usr/bin/env bash
# Builds the stand-ins of review cases 11, 12, 14 and 15 into target/review-3, after
# the build of the deploy file. Needs a C++20 compiler and no library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rm -f target/review-3/*
for source in review/support-3/*.cpp; do
    object=target/review-3/$(basename "$source" .cpp).o
    "${CXX:-g++}" -std=c++20 -O1 -pthread -c "$source" -o "$object" &
done
wait
"${CXX:-g++}" -pthread target/review-3/*.o -o target/review-3/rig

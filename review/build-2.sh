#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review into
# target/review-2. Use from any folder, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags="-std=c++20 -O1 -g -Wall -Wextra -pthread"
g++ $flags -c review/support-2/rig.cpp -o target/review-2/rig.o
for source in review/6/*.cpp review/7/*.cpp review/8/*.cpp review/9/*.cpp; do
    [ -e "$source" ] || continue
    g++ $flags "$source" target/review-2/rig.o \
        -o "target/review-2/$(basename "$(dirname "$source")")"
done

#!/usr/bin/env bash
# Builds the cases and their stand-ins into review/bin; needs g++ only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/[1-9]/case.cpp; do
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -I. -pthread -o "review/bin/$name" "$source"
done

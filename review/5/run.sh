#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/5 ] && [ -x target/jujubestand_node ] || exit 2
timeout -k 5 110 review/bin/5 review/5/record.txt
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: all answers have an end.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/weir-platform ] && [ -x target/review/standin ] || { echo "build first"; exit 2; }
exec timeout -k 5 110 target/review/standin endless review/1/record.txt

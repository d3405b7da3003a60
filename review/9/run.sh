#!/bin/sh
# The settings change to a grace period that is a fraction; the process is ended in order and started again.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/weir-platform ] && [ -x target/review-2/standin ] || exit 2
exec target/review-2/standin fraction review/9/record.txt

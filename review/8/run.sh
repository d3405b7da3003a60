#!/bin/sh
# All processes are killed at the same moment, and clients take their streams up again.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/weir-platform ] && [ -x target/review-2/standin ] || exit 2
exec target/review-2/standin all-killed review/8/record.txt

#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fireflytrail ] && [ -x out/review/case4 ] || exit 2
timeout 118 out/review/case4
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"

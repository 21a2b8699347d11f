#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=build/review-2/case-10
[ -x target/fireflytrail ] && [ -x "$program" ] || exit 2
timeout -k 2 110 "$program" review/10
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2

#!/usr/bin/env bash
# Plays up to three short days, each with one kill, until the rule is broken.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fireflytrail ] && [ -x out/review/case1 ] || exit 2
: >review/1/record.txt
day=$(mktemp)
trap 'rm -f "$day"' EXIT
for number in 1 2 3; do
  RECORD=$day timeout 35 out/review/case1
  status=$?
  { echo "day $number"; cat "$day"; } >>review/1/record.txt
  [ "$status" -le 1 ] || exit 2
  [ "$status" -eq 0 ] || exit 1
done
exit 0

#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=target/fireflytrail
tool=target/review-3/StaleCase
[ -x "$program" ] && [ -x "$tool" ] || {
  echo "build the deploy file and run review/build-3.sh first" >&2
  exit 2
}
work=$(mktemp -d "${TMPDIR:-/tmp}/review-14.XXXXXX") || exit 2
trap 'rm -rf "$work"' EXIT
# The tool ends the daemons that it started, also when it is told to stop.
timeout 115 "$tool" "$program" "$work" review/14/record.txt
code=$?
tail -n 1 review/14/record.txt
[ "$code" -le 1 ] && exit "$code"
exit 2

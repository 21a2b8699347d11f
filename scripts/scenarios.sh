#!/usr/bin/env bash
# Runs all scenarios or those named and prints one JSON line for each:
# scripts/scenarios.sh [--seed N] [NAME ...]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1
if [ "${1:-}" = --seed ]; then
  seed=${2:?--seed needs a number}
  shift 2
fi
[ -x build/scenario_runner ] || scripts/build.sh scenario_runner >&2
files=()
for name in "$@"; do files+=("scenarios/$name.json"); done
[ $# -gt 0 ] || files=(scenarios/*.json)
exec build/scenario_runner --seed="$seed" "${files[@]}"

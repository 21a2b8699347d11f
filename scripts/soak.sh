#!/usr/bin/env bash
# Builds and runs the soak test under faults; see docs/soak.md:
# scripts/soak.sh [--seed N] [--runs N] [--seconds S] [--verbose]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh soak fireflytrail >/dev/null
exec build/soak --program=build/fireflytrail "$@"

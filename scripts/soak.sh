#!/usr/bin/env bash
# Builds and runs the fault soak: scripts/soak.sh [--seed N] [--runs N]
# [--seconds S] [--verbose]. See docs/soak.md.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh soak fireflytrail >/dev/null
exec build/soak --program=build/fireflytrail "$@"

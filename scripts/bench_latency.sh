#!/usr/bin/env bash
# Measures the latency that a real daemon adds on loopback: the same calls go
# directly to the stand-in servers and through one daemon in the same run, at
# rising rates.
# usage: scripts/bench.sh latency [SECONDS_PER_STEP]
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/bench_lib.sh
seconds=${1:-8}
start_standins
add_servers s0 20
text 1 >"$work/text.json"
build/fireflytrail submit "$work/text.json" --store "$platform" >/dev/null
start_daemon entry0 4
await_ready
direct=$(jq -r '[.hosts[].address] | join(",")' "$work/added.json")
# The daemon treats new servers as cold; this load warms them up.
build/bench_load --targets="$caller" --calls=GET:/s0/get --rate=500 --connections=16 --seconds=12 >/dev/null
echo "ms, direct / through the daemon / added; calls a second of 16 connections"
printf '%8s %24s %24s %24s %s\n' rate p50 p99 p99.9 statuses
for rate in 250 500 1000 2000 4000; do
  straight=$(build/bench_load --targets="$direct" --calls=GET:/get --rate=$rate --connections=16 --seconds="$seconds" --warmup_seconds=2)
  through=$(build/bench_load --targets="$caller" --calls=GET:/s0/get --rate=$rate --connections=16 --seconds="$seconds" --warmup_seconds=2)
  jq -rn --argjson a "$straight" --argjson b "$through" --argjson rate $rate '
    def column(f): "\($a.latency_ms | f * 1000 | round / 1000) / \($b.latency_ms | f * 1000 | round / 1000) / \((($b.latency_ms | f) - ($a.latency_ms | f)) * 1000 | round / 1000)";
    [$rate, column(.p50), column(.p99), column(."p99.9" // .p999), ($b.statuses | tojson)] | @tsv' |
    awk -F'\t' '{printf "%8s %24s %24s %24s %s\n", $1, $2, $3, $4, $5}'
done

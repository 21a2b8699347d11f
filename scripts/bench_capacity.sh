#!/usr/bin/env bash
# Measures how memory, processor time, peer bytes and store requests of a real
# daemon grow with the number of servers, daemons, configuration changes, calls,
# connections and tickets, and fits a line to each. Writes a table to standard
# output and plots to out/capacity.svg. Takes about four minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/bench_lib.sh
mkdir -p out
plots=()

# report TITLE UNIT FILE: prints the points and the fitted line, adds a plot.
report() {
  read -r slope base residual <<<"$(fit "$3")"
  printf '%-44s slope %-12s base %-12s residual %-8s points %s\n' "$1 ($2)" "$slope" "$base" "$residual" \
    "$(awk '{printf "%s:%.4g ", $1, $2}' "$3")"
  cp "$3" "out/$(tr -c 'a-z0-9\n' _ <<<"${1,,}").dat"
  plots+=("$1|$2|out/$(tr -c 'a-z0-9\n' _ <<<"${1,,}").dat")
}

# idle_cost SECONDS: prints the processor share of the control thread, the peer
# bytes a second and the store requests a second of the daemon at $operator,
# measured over SECONDS without calls.
idle_cost() {
  local a b c
  a=$(metric control_processor_seconds) b=$(metric peer_bytes) c=$(metric store_requests)
  sleep "$1"
  awk -v t="$1" -v a="$a" -v b="$b" -v c="$c" -v a2="$(metric control_processor_seconds)" \
    -v b2="$(metric peer_bytes)" -v c2="$(metric store_requests)" \
    'BEGIN {printf "%.6f %.1f %.3f\n", (a2-a)/t, (b2-b)/t, (c2-c)/t}'
}

# By number of servers: control processor time and memory.
: >"$work/servers_cpu"; : >"$work/servers_memory"
for count in 20 120 240 470; do
  start_standins
  services=$(((count + 7) / 8))
  text "$services" >"$work/text.json"
  for index in $(seq 0 $((services - 1))); do add_servers "s$index" 8; done
  build/fireflytrail submit "$work/text.json" --store "$platform" >/dev/null
  start_daemon entry0 1
  await_ready
  sleep 2
  read -r cpu _ _ <<<"$(idle_cost 6)"
  echo "$((services * 8)) $cpu" >>"$work/servers_cpu"
  echo "$((services * 8)) $(metric resident_bytes)" >>"$work/servers_memory"
  stop_all
done
report "control processor share over servers" "cores" "$work/servers_cpu"
report "resident memory over servers" "bytes" "$work/servers_memory"

# By number of daemons: control processor time, peer bytes, store requests.
: >"$work/peers_cpu"; : >"$work/peers_bytes"; : >"$work/peers_store"
start_standins
text 4 >"$work/text.json"
for index in 0 1 2 3; do add_servers "s$index" 10; done
build/fireflytrail submit "$work/text.json" --store "$platform" >/dev/null
started=0
for count in 3 6 12 19; do
  while [ $started -lt "$count" ]; do
    start_daemon "entry$started" 1
    [ $started -eq 0 ] && first_operator=$operator
    started=$((started + 1))
  done
  await_ready
  operator=$first_operator
  sleep 8
  read -r cpu bytes store <<<"$(idle_cost 10)"
  echo "$count $cpu" >>"$work/peers_cpu"
  echo "$count $bytes" >>"$work/peers_bytes"
  echo "$count $store" >>"$work/peers_store"
done
report "control processor share over daemons" "cores" "$work/peers_cpu"
report "peer bytes over daemons" "B/s" "$work/peers_bytes"
report "store requests of one daemon over daemons" "1/s" "$work/peers_store"

# By number of configuration changes: peer bytes and control processor time,
# with 19 daemons.
: >"$work/changes_bytes"; : >"$work/changes_cpu"
for changes in 0 4 8 16; do
  before_bytes=$(metric peer_bytes) before_cpu=$(metric control_processor_seconds)
  for index in $(seq "$changes"); do
    jq --arg n "$changes$index" '.name = "bench" + $n' "$work/text.json" >"$work/changed.json"
    build/fireflytrail submit "$work/changed.json" --store "$platform" >/dev/null
  done
  sleep $((12 - changes / 2))
  echo "$changes $(awk -v a="$before_bytes" -v b="$(metric peer_bytes)" 'BEGIN {print b-a}')" >>"$work/changes_bytes"
  echo "$changes $(awk -v a="$before_cpu" -v b="$(metric control_processor_seconds)" 'BEGIN {print b-a}')" >>"$work/changes_cpu"
done
report "peer bytes over configuration changes" "B in 12 s" "$work/changes_bytes"
report "control processor time over changes" "s in 12 s" "$work/changes_cpu"
echo "store calls of the fleet: $(curl -sS "http://$platform/control/counts")"
stop_all

# By number of calls, connections and tickets, with one daemon: processor time
# of the calls, memory of the connections and tickets.
: >"$work/calls_cpu"; : >"$work/connections_memory"; : >"$work/tickets_memory"
start_standins
add_servers s0 20
text 1 >"$work/text.json"
build/fireflytrail submit "$work/text.json" --store "$platform" >/dev/null
start_daemon entry0 4
await_ready
build/bench_load --targets="$caller" --calls=GET:/s0/get --rate=500 --connections=16 --seconds=10 >/dev/null
for rate in 500 1000 2000 4000; do
  before=$(processor_seconds "$daemon_pid")
  build/bench_load --targets="$caller" --calls=GET:/s0/get --rate=$rate --connections=16 --seconds=5 >/dev/null
  echo "$((rate * 5)) $(awk -v a="$before" -v b="$(processor_seconds "$daemon_pid")" 'BEGIN {print b-a}')" >>"$work/calls_cpu"
done
report "processor time over proxied calls" "s" "$work/calls_cpu"
for count in 50 250 500 1000; do
  build/bench_load --targets="$caller" --calls=GET:/s0/get --rate=200 --connections=$count --seconds=4 >/dev/null & load=$!
  sleep 3
  echo "$count $(metric resident_bytes)" >>"$work/connections_memory"
  wait $load
done
report "resident memory over caller connections" "bytes" "$work/connections_memory"
issued=0
for count in 0 10000 20000 40000; do
  while [ $issued -lt $count ]; do
    seq 100 | xargs -P 4 -I{} curl -sS -X POST "http://$caller/tickets?count=50" -o /dev/null
    issued=$((issued + 5000))
  done
  echo "$count $(metric resident_bytes)" >>"$work/tickets_memory"
done
report "resident memory over tickets" "bytes" "$work/tickets_memory"
stop_all

{
  echo "set terminal svg size 1200,1500; set output 'out/capacity.svg'"
  echo "set multiplot layout 5,2; unset key"
  for plot in "${plots[@]}"; do
    IFS='|' read -r title unit file <<<"$plot"
    echo "set title '$title'; set ylabel '$unit'; fit_$RANDOM(x) = x; plot '$file' with linespoints"
  done
} | sed -E 's/fit_[0-9]+\(x\) = x; //' | gnuplot
echo "plots: out/capacity.svg"

# Functions shared by the benchmarks that run the real daemon against the
# stand-ins. Sourced, not run. Everything listens on loopback.

work=$(mktemp -d "${TMPDIR:-/tmp}/fireflytrail-bench.XXXXXX")
pids=()

stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

# first_line FILE: waits for the first line of a file and prints it.
first_line() {
  for _ in $(seq 100); do
    [ -s "$1" ] && { head -n 1 "$1"; return; }
    sleep 0.05
  done
  echo "no output in $1" >&2
  return 1
}

start_standins() {
  build/standin_platform >"$work/platform.out" & pids+=($!)
  build/standin_server >"$work/servers.out" & pids+=($!)
  platform=$(first_line "$work/platform.out")
  servers=$(first_line "$work/servers.out")
}

post() { curl -sS -X POST -d "$2" "http://$1/control"; }

# add_servers SERVICE COUNT: starts warm servers and adds them to the host list.
add_servers() {
  post "$servers" "$(jq -n --arg service "$1" --argjson count "$2" \
    '{action: "add", service: $service, version: "1", domain: "north-a", region: "north",
      count: $count, service_time_us: 500, connect_cost_us: 0}')" >"$work/added.json"
  post "$platform" "$(jq '{add_hosts: .hosts}' "$work/added.json")" >/dev/null
}

# text SERVICES: prints an operators' text with SERVICES services named s0, s1,
# ...
text() {
  jq -n --argjson count "$1" '{name: "bench", weighs_most: "latency", regions: {north: ["north-a"]},
    services: ([range($count) | {key: "s\(.)", value: {slots: 4, version: "1", calls: {
      get: {method: "GET", path: "/get", deadline_ms: 2000},
      put: {method: "POST", path: "/put", at_most_once: true, deadline_ms: 2000}}}}] | from_entries)}'
}

# start_daemon NAME THREADS: starts an entry daemon and sets caller and operator
# (its addresses for callers and operators) and daemon_pid.
start_daemon() {
  jq -n --arg name "$1" --arg store "$platform" --argjson threads "$2" \
    '{name: $name, region: "north", failure_domain: "north-a", store: $store, listen: "127.0.0.1:0",
      peer_listen: "127.0.0.1:0", operator_listen: "127.0.0.1:0", traffic_threads: $threads}' >"$work/$1.json"
  build/fireflytrail serve "$work/$1.json" >"$work/$1.log" & daemon_pid=$!
  pids+=($daemon_pid)
  local started
  started=$(first_line "$work/$1.log")
  caller=$(jq -r .listen <<<"$started")
  operator=$(jq -r .operator_listen <<<"$started")
  post "$platform" "$(jq -n --arg id "$1" --arg address "$caller" --arg operator "$operator" \
    --arg peer "$(jq -r .peer_listen <<<"$started")" '{add_hosts: [{id: $id, kind: "entry", address: $address,
      peer_address: $peer, operator_address: $operator, domain: "north-a", region: "north"}]}')" >/dev/null
}

# await_ready: waits until the daemon started last is ready.
await_ready() {
  for _ in $(seq 200); do
    [ "$(curl -sS -o /dev/null -w '%{http_code}' "http://$caller/healthz")" = 200 ] && return
    sleep 0.1
  done
  echo "daemon is not ready" >&2
  return 1
}

# metric NAME: prints a metric of the daemon at $operator.
metric() { curl -sS "http://$operator/metrics" | awk -v name="fireflytrail_$1" '$1 == name {print $2}'; }

# processor_seconds PID: prints the processor time that a process has used.
processor_seconds() { awk -v tick="$(getconf CLK_TCK)" '{print ($14 + $15) / tick}' "/proc/$1/stat"; }

# fit FILE: fits a line to the points of a file ("x y" on each line) by least
# squares; prints slope, intercept and the largest residual as a share of the
# largest y.
fit() {
  awk '{x[NR]=$1; y[NR]=$2; sx+=$1; sy+=$2; sxx+=$1*$1; sxy+=$1*$2; if ($2>m) m=$2}
    END {slope=(NR*sxy-sx*sy)/(NR*sxx-sx*sx); base=(sy-slope*sx)/NR;
      for (i=1;i<=NR;i++) {r=y[i]-base-slope*x[i]; if (r<0) r=-r; if (r>w) w=r}
      printf "%.6g %.6g %.3g", slope, base, (m>0 ? w/m : 0)}' "$1"
}

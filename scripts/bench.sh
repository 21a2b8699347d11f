#!/usr/bin/env bash
# Builds and runs one benchmark: scripts/bench.sh NAME [flags]
# NAME is for example at-most-once for bench/AtMostOnceBench.cpp.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -eq 0 ]; then
  echo "usage: scripts/bench.sh NAME [flags]; names:" >&2
  ls bench/*Bench.cpp | sed -E 's|bench/(.*)Bench.cpp|\1|; s/([a-z])([A-Z])/\1-\2/g' | tr A-Z a-z >&2
  ls scripts/bench_*.sh | grep -v bench_lib | sed -E 's|scripts/bench_(.*).sh|\1|' >&2
  exit 2
fi
if [ -x "scripts/bench_${1//-/_}.sh" ]; then
  script=scripts/bench_${1//-/_}.sh
  shift
  scripts/build.sh >&2
  exec "$script" "$@"
fi
program=bench_${1//-/_}
shift
scripts/build.sh "$program" >&2
exec "build/$program" "$@"

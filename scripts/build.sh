#!/usr/bin/env bash
# Configures and builds everything into build/, or only the targets named.
set -euo pipefail
cd "$(dirname "$0")/.."
# Makes compiler cache hits independent of the checkout's folder.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B build -G Ninja >build.log 2>&1 || { cat build.log; exit 1; }
rm -f build.log
ninja -C build -j "${JOBS:-8}" "$@"

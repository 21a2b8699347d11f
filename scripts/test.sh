#!/usr/bin/env bash
# Installs missing packages, builds everything and runs every test. A failure of
# a test that KNOWN-RED.txt names after "ctest:" is printed and tolerated.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
scripts/build.sh
mapfile -t known < <(sed -n 's/^ *ctest: //p' KNOWN-RED.txt)
if [ "${#known[@]}" -eq 0 ]; then
  ctest --test-dir build --output-on-failure -j 4
  exit
fi
pattern="^($(IFS='|'; echo "${known[*]}"))\$"
echo "Known failures, which are tolerated: ${known[*]}"
ctest --test-dir build --output-on-failure -R "$pattern" || true
ctest --test-dir build --output-on-failure -j 4 -E "$pattern"

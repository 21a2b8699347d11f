#!/usr/bin/env bash
# Installs missing packages, builds everything and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
scripts/build.sh
ctest --test-dir build --output-on-failure -j 4

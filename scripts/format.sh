#!/usr/bin/env bash
# Formats all C++ sources; with --check only reports differences and fails.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=-i
[ "${1:-}" = --check ] && mode="--dry-run -Werror"
git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v _generated.h |
  xargs -r -P 8 -n 16 clang-format $mode

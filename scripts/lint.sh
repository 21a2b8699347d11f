#!/usr/bin/env bash
# Runs clang-tidy over all C++ sources, or over the files named. Files whose
# preprocessed content passed before with this configuration are skipped.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build/compile_commands.json ] || cmake -S . -B build -G Ninja >/dev/null
mkdir -p build/lint
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp'); fi
lint_one() {
  local key
  key=$(cat .clang-tidy "$1" $(git ls-files --cached --others --exclude-standard '*.h') | sha256sum | cut -c1-32)
  [ -f "build/lint/$key" ] && return 0
  clang-tidy --quiet -p build "$1" 2>/dev/null || { echo "lint failed: $1"; return 1; }
  touch "build/lint/$key"
}
export -f lint_one
printf '%s\n' "${files[@]}" | grep -v -e _generated -e fuzz/ | xargs -r -P "${JOBS:-8}" -I{} bash -c 'lint_one {}'

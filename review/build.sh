#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases into out/review/, or into
# the folder that OUT names.
set -euo pipefail
cd "$(dirname "$0")/.."
out=${OUT:-out/review}
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -I . -I modules -DBOOST_ASIO_NO_DEPRECATED)
objects=()
for source in review/standins/*.cpp soak/HttpService.cpp soak/ObjectStore.cpp soak/DaemonProcess.cpp; do
  object="$out/$(basename "$source" .cpp).o"
  g++ "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
for source in review/[1-5]/Case.cpp; do
  [ -f "$source" ] || continue
  g++ "${flags[@]}" -c "$source" -o "$out/case$(basename "$(dirname "$source")").o" &
done
for job in $(jobs -p); do wait "$job"; done
for source in review/[1-5]/Case.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "$out/case$number.o" "${objects[@]}" -o "$out/case$number" -lboost_json -lfmt -pthread
done

#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15 into target/review-3. Needs only what
# the build of the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
flags=(-std=c++20 -O1 -I. -Imodules -Ireview/tools-3)
libraries=(-lboost_json -lboost_url -lfmt -lxxhash -lpthread)
objects=()
pids=()
for source in soak/HttpService.cpp soak/ObjectStore.cpp \
  soak/DaemonProcess.cpp modules/core/Hash.cpp review/tools-3/Harness.cpp \
  review/tools-3/Backend.cpp review/tools-3/LaggingReplica.cpp; do
  object=target/review-3/$(basename "$source" .cpp).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
  objects+=("$object")
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in review/tools-3/*Case.cpp; do
  g++ "${flags[@]}" "$source" "${objects[@]}" "${libraries[@]}" \
    -o "target/review-3/$(basename "$source" .cpp)"
done

#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6 to 10 into build/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/standins-2/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "$source" \
    -o "build/review-2/$(basename "$source" .cpp).o" &
done
wait
for number in 6 7 8 9 10; do
  [ -f "review/$number/Case.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "review/$number/Case.cpp" \
    build/review-2/*.o -o "build/review-2/case-$number" &
done
wait

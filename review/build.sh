#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/standins"
out=../../target/review
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
for name in doubled parts uploads; do
  g++ "${flags[@]}" -o "$out/$name" "$name.cpp" platform.cpp wire.cpp
done

#!/usr/bin/env bash
# Formatter and linter over all C++ sources; fails on any finding.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build/compile_commands.json ] || cmake --preset release > /dev/null
git ls-files '*.h' '*.cpp' | xargs clang-format --dry-run --Werror
echo "format: clean"
git ls-files 'src/*.cpp' 'programs/*.cpp' 'platform/*.cpp' |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build 2> /dev/null
echo "lint: clean"

#!/usr/bin/env bash
# Formatter and linter over all C++ sources; fails on any finding. Files that were found clean are
# remembered outside the tree, by a hash of all that the linter reads. JOBS: processes at a time.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${JOBS:-$(nproc)}
root=$PWD
export root cache=${WALNUT_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/walnutlead-lint}
mkdir -p "$cache"
[ -f build/compile_commands.json ] || cmake --preset release > /dev/null

git ls-files '*.h' '*.cpp' | xargs clang-format --dry-run --Werror
echo "format: clean"

# The linter, its settings, and the headers of packages, which it may read other parts of than the
# compiler does.
common=$({ clang-tidy --version; cat .clang-tidy; dpkg-query -W '*-dev'; } | sha256sum)
export common

# Prints the compiler's command for a source file.
command_of() {
  sed -n 's/^ *"command": "\(.*\)",$/\1/p' build/compile_commands.json |
    sed 's/\\\(.\)/\1/g' | grep -F -- " -c $root/$1" || true
}

# Prints the hash of a source file after preprocessing, its flags, and the text of all files of the
# tree that it includes: comments may silence findings.
key_of() {
  local command preprocessed
  command=$(command_of "$1")
  # A file without a command, or with several, is always linted.
  [ -n "$command" ] && [ "$(wc -l <<< "$command")" = 1 ] || return 1
  command=${command%% -o *}
  preprocessed=$(mktemp)
  if ! (cd build && eval "$command -E $root/$1") > "$preprocessed" 2> /dev/null; then
    rm -f "$preprocessed"
    return 1
  fi
  {
    echo "$common" "$1" "${command//$root/.}"
    sed "s|$root/||g" "$preprocessed"
    sed -n "s|^# [0-9]* \"$root/\([^\"]*\)\".*|\1|p" "$preprocessed" | sort -u |
      while read -r included; do
        [ ! -f "$included" ] || cat "$included"
      done
  } | sha256sum | cut -d ' ' -f 1
  rm -f "$preprocessed"
}

# Only a run without any finding is remembered.
lint() {
  local key findings
  key=$(key_of "$1") || key=
  if [ -n "$key" ] && [ -f "$cache/$key" ]; then
    return 0
  fi
  if findings=$(clang-tidy --quiet -p build "$1" 2> /dev/null) && [ -z "$findings" ]; then
    [ -z "$key" ] || : > "$cache/$key"
    return 0
  fi
  printf '%s\n' "$findings"
  return 1
}
export -f command_of key_of lint

git ls-files 'src/*.cpp' 'programs/*.cpp' 'platform/*.cpp' |
  xargs -P "$jobs" -I {} bash -c 'lint "$1"' lint {}
echo "lint: clean"

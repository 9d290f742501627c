#!/usr/bin/env bash
# Installs what the build, the tests and the linters need, if it is missing. Debian 12 names;
# versions are bounded in CMakeLists.txt.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config clang-format clang-tidy curl
  libpoco-dev libspdlog-dev libcpputest-dev libcereal-dev libboost-dev libxxhash-dev
  prometheus-cpp-dev libssl-dev libyaml-cpp-dev libhttp-parser-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  as_root=()
  [ "$(id -u)" -eq 0 ] || as_root=(sudo)
  "${as_root[@]}" apt-get update -qq
  DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq --no-install-recommends \
    "${missing[@]}"
fi

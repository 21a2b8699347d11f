#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the lint need.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy libboost1.81-dev
  libboost-json1.81-dev libboost-url1.81-dev libboost-test1.81-dev
  libflatbuffers-dev prometheus-cpp-dev libgflags-dev libfmt-dev
  libxxhash-dev gnuplot-nox curl jq git)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null

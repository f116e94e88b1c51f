#!/bin/sh
# Installs the missing Debian packages that the build needs.
set -eu
packages="g++ make cmake ninja-build pkg-config python3 clang-format clang-tidy \
libcivetweb-dev libboost-dev libjsonrpccpp-dev prometheus-cpp-dev libboost-program-options-dev \
liblog4cxx-dev libabsl-dev doctest-dev nlohmann-json3-dev libvalijson-dev \
librapidcheck-dev libxxhash-dev libbenchmark-dev"
missing=""
for package in $packages; do
    dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
sudo=""
[ "$(id -u)" = 0 ] || sudo="sudo"
$sudo apt-get update -qq
# shellcheck disable=SC2086
$sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null

#!/usr/bin/env bash
# Installs the Debian packages that the build, tests and scripts need, unless they
# are present.
set -euo pipefail
packages=(
    g++ cmake ninja-build make ccache clang-format clang-tidy
    libcivetweb-dev libwebsocketpp-dev nlohmann-json3-dev
    libboost-dev libboost-system-dev libcli11-dev libspdlog-dev
    catch2 libtrompeloeil-cpp-dev librapidcheck-dev libinih-dev
    libxxhash-dev prometheus-cpp-dev libssl-dev libclang-rt-14-dev
    gnuplot-nox curl openssl
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q 'ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
sudo=()
[ "$(id -u)" -eq 0 ] || sudo=(sudo)
"${sudo[@]}" apt-get update -qq
"${sudo[@]}" env DEBIAN_FRONTEND=noninteractive \
    apt-get install -y --no-install-recommends "${missing[@]}"

#!/usr/bin/env bash
# Installs the Debian 12 packages that the project declares: compilers, libraries, formatter and linter.
set -euo pipefail
packages=(
    build-essential cmake ninja-build ccache pkg-config curl ca-certificates
    libboost1.81-dev libflatbuffers-dev nlohmann-json3-dev libtclap-dev liblog4cxx-dev
    libcriterion-dev libssl-dev libxxhash-dev libbenchmark-dev
    clang-19 lld-19 libclang-rt-19-dev clang-format-19 clang-tidy-19
)
missing=()
for name in "${packages[@]}"; do
    dpkg -s "$name" >/dev/null 2>&1 || missing+=("$name")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
echo "dependencies: ${#packages[@]} packages present"

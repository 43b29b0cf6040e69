#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Run it after the build of deploy/system.toml, whose libraries
# they use.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++23 -O1 -g1 -Wall -Wextra -fuse-ld=lld-19 -DBOOST_ASIO_NO_DEPRECATED -DBOOST_BEAST_USE_STD_STRING_VIEW
    -ISource -ISource/Core -Ireview/stand-ins)
libraries=(target/Source/Core/Transport/libPollenwindTransport.a target/Source/Core/Common/libPollenwindCommon.a
    -lcrypto -lxxhash -lpthread)
clang++-19 "${flags[@]}" -Wno-unused-command-line-argument -c review/stand-ins/Kit.cpp -o target/review/Kit.o
builds=()
for source in review/stand-ins/*.cpp; do
    name=$(basename "$source" .cpp)
    if [ "$name" != Kit ]; then
        clang++-19 "${flags[@]}" "$source" target/review/Kit.o "${libraries[@]}" -o "target/review/$name" &
        builds+=($!)
    fi
done
for build in "${builds[@]}"; do
    wait "$build"
done

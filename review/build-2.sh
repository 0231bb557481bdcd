#!/bin/sh
# Builds the stand-ins and cases of the second review (review/6 to review/10) into review/standins-2/bin. Needs what the
# build of the deploy file needs: a C++20 compiler, Boost's headers and nlohmann-json. No network.
set -eu
review=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$review/standins-2/bin"
for source in "$review"/[0-9]*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++20 -O1 -pthread -Wall -Wextra -o "$review/standins-2/bin/case-$number" "$source"
done

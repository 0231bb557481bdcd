#!/bin/sh
# Builds the stand-ins of the cases. Needs only the C++ compiler of the project's own build.
set -e
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -Wall -Wextra -o bin/standin standin/main.cpp

#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standIns/main.cpp -o target/review/standIns

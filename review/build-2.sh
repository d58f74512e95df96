#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/standins-2/*.java

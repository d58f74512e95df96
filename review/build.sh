#!/usr/bin/env bash
# Builds the stand-ins of all scripts into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/standins/*.java

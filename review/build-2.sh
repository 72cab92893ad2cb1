#!/usr/bin/env bash
# Compiles the stand-ins of the second review's scripts into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:-options --release 17 -d target/review-2 review/standin-2.test/*.java

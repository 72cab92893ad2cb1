#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the JDK alone, into target/review of the repository.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac --release 17 -d target/review review/standin.test/*.java

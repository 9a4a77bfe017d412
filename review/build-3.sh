#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 11 to 15. Needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac --release 17 -Xlint:all -d target/review-3 review/standins-3/src/*.java

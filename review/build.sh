#!/bin/sh
# Builds the stand-ins that the cases start; the build of the deploy file must have run before.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 -d target/review review/standins/*.java

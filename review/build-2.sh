#!/bin/sh
# Compiles the stand-ins and the cases of the second review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 -cp target/rhubarbward-daemon/rhubarbward.jar \
    review/standins-2/src/*.java $(find review/6 review/7 review/8 review/9 review/10 -name '*.java')

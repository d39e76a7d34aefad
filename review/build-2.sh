#!/bin/sh
# Builds the stand-ins of the second review's cases; run it after the build of the deploy file, with no network.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 && exec javac -encoding UTF-8 -d target/review-2 review/standins-2/*.java

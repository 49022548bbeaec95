#!/bin/sh
# Builds the stand-ins and clients of review/6 to review/10 into target/review-2. To be run after the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -d target/review-2 review/src-2/review2/*.java

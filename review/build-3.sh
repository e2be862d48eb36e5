#!/usr/bin/env bash
# Builds the stand-ins and the checks of the cases 11 to 15 into target/review-3, after deploy/build.
set -eu
cd "$(dirname "$0")/.."
JAVA_HOME=$(.ci/find-jdk)
rm -rf target/review-3
mkdir -p target/review-3
find review/1[1-5] -name '*.java' -print0 |
  xargs -0 "$JAVA_HOME/bin/javac" --release 21 -Xlint:all,-serial -d target/review-3 -cp "target/app/lib/*"

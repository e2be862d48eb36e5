#!/usr/bin/env bash
# Compiles the stand-ins and scripts of the cases 6 to 10 into target/review-2; the build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
JAVA_HOME=$(bash .ci/find-jdk)
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -nowarn -d target/review-2 -cp "target/app/lib/*" review/standin-2/*.java

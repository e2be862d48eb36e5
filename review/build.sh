#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Needs the same JDK as the build of the deploy file.
set -eu
cd "$(dirname "$0")"
JAVA_HOME=$(../.ci/find-jdk)
rm -rf target/classes
mkdir -p target/classes
"$JAVA_HOME/bin/javac" -d target/classes --release 21 -Xlint:all,-processing standin/*.java

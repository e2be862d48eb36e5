#!/usr/bin/env bash
# Runs the class $1 as the case in review/$2; see Trial.java.
cd "$(dirname "$0")/../.." || exit 2
JAVA_HOME=$(bash .ci/find-jdk) || exit 2
[ -d target/review-2 ] || { echo "run deploy/build and review/build-2.sh first" >&2; exit 2; }
timeout -k 5 115 "$JAVA_HOME/bin/java" -Xmx512m -Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.maxIdleConnections=4096 \
  -Djdk.httpclient.allowRestrictedHeaders=host -cp "target/review-2:target/app/lib/*" "$1" "review/$2"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"

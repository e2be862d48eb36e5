#!/usr/bin/env bash
# Runs a script case: its name and its folder. See the exit codes in run.sh of the case.
set -u
name=$1
folder=$2
cd "$(dirname "$0")/.."
JAVA_HOME=$(.ci/find-jdk) || exit 2
if [ ! -f review/target/classes/review/Main.class ] || [ ! -f target/app/lovagerack-node.jar ]; then
  echo "run the build line of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
scratch=$(mktemp -d)
cleanup() {
  # Ends processes of the system that outlived the case; only those that it started.
  if [ -f "$scratch/pids" ]; then
    while read -r pid; do
      if grep -qs lovagerack-node "/proc/$pid/cmdline"; then
        kill -KILL "$pid" 2>/dev/null
      fi
    done <"$scratch/pids"
  fi
  rm -rf "$scratch"
}
trap cleanup EXIT
"$JAVA_HOME/bin/java" -Xmx512m -cp review/target/classes review.Main "$name" "$PWD" "$folder" "$scratch" &
java=$!
trap 'kill -TERM $java 2>/dev/null; wait $java; exit 2' INT TERM
wait $java
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"

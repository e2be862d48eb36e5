#!/usr/bin/env bash
# Runs a trial of the report that is not a case; its record and the logs of the processes are under target/.
#   trial.sh RandomFaults SEED FAULTS SECONDS EXECUTORS     stored jobs under random faults
#   trial.sh OwnersKilled KILLS                             a task that crashes executors, and killed owners
#   trial.sh ForeignEntry                                   an entry whose address is no address
set -u
cd "$(dirname "$0")/.."
JAVA_HOME=$(.ci/find-jdk) || exit 2
name=$1
shift
words=$*
words=${words//[ ,]/-}
folder=target/review-trials/$name-$words
rm -rf "$folder"
mkdir -p "$folder/nodes"
exec "$JAVA_HOME/bin/java" -Xmx512m -cp review/target/classes "review.$name" "$PWD" "$folder" "$folder/nodes" "$@"

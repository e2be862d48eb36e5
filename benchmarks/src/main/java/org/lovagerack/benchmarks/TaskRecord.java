package org.lovagerack.benchmarks;

import java.util.ArrayList;
import java.util.List;

/** What was seen of one task, at the upstreams and on the connections. */
final class TaskRecord {

  /**
   * One start at an upstream.
   *
   * @param nanos when
   * @param address where
   * @param runNanos how long it runs there
   */
  record Start(long nanos, String address, long runNanos) {}

  final PlannedTask task;
  final List<Start> starts = new ArrayList<>();
  int requests;
  int answers;
  int closes;
  boolean saidNotRun;

  TaskRecord(PlannedTask task) {
    this.task = task;
  }

  /**
   * Returns the messages beyond one request and one answer. Closing the connection of an attempt
   * counts if the task had another attempt.
   */
  int wastedMessages() {
    int closing = requests > 1 ? closes : 0;
    return Math.max(0, requests - 1) + Math.max(0, answers - 1) + closing;
  }

  boolean startedAgainAlthoughNotRepeatable() {
    return !task.repeatable() && starts.size() > 1;
  }

  boolean startedAlthoughSaidNotRun() {
    return saidNotRun && !starts.isEmpty();
  }
}

package org.lovagerack.benchmarks;

import java.util.ArrayList;
import java.util.List;

/** Records the starts and messages of one task. */
final class TaskRecord {

  /**
   * One start of the task on an upstream.
   *
   * @param nanos time of the start
   * @param address address of the upstream
   * @param runNanos run time on this upstream
   */
  record Start(long nanos, String address, long runNanos) {}

  final PlannedTask task;
  final List<Start> starts = new ArrayList<>();
  int requests;
  int answers;
  int connectionCloses;
  boolean reportedNotRun;

  TaskRecord(PlannedTask task) {
    this.task = task;
  }

  /**
   * Returns the number of messages beyond one request and one answer. Closing the connection of an
   * attempt counts if the task had another attempt.
   */
  int wastedMessages() {
    int closing = requests > 1 ? connectionCloses : 0;
    return Math.max(0, requests - 1) + Math.max(0, answers - 1) + closing;
  }

  boolean startedAgainAlthoughNotRepeatable() {
    return !task.repeatable() && starts.size() > 1;
  }

  boolean startedAlthoughReportedNotRun() {
    return reportedNotRun && !starts.isEmpty();
  }
}

package org.lovagerack.benchmarks;

import java.util.List;

/**
 * One job as it was drawn.
 *
 * @param kind its request kind
 * @param sentNanos time at which the caller sends it
 * @param entryVm entry VM that receives it
 * @param deadlineNanos time from receipt until the answer is due
 * @param tasks its tasks
 * @param cancelNanos time at which the caller cancels it, or -1
 * @param impossible whether no upstream could finish it by its deadline
 */
record PlannedJob(
    KindProfile kind,
    long sentNanos,
    int entryVm,
    long deadlineNanos,
    List<PlannedTask> tasks,
    long cancelNanos,
    boolean impossible) {

  static final long NOT_CANCELLED = -1;

  PlannedJob {
    tasks = List.copyOf(tasks);
  }

  /** Returns the work of the first attempts of all tasks, in nanoseconds at reference speed. */
  double firstAttemptWork() {
    return tasks.stream().mapToDouble(task -> task.workNanos(1)).sum();
  }

  /**
   * Returns the earliest response that any schedule could reach on an empty system: the longest
   * task on the fastest upstream, or all the work over the whole capacity, whichever is longer, and
   * one round trip from the caller to the upstream and back.
   */
  double idealNanos(Workload workload) {
    return atLeast(workload, tasks.stream().mapToLong(PlannedTask::leastWorkNanos).toArray());
  }

  /** Returns the ideal as if no attempt ever straggled; not reachable if one must. */
  double idealWithoutStragglersNanos(Workload workload) {
    return atLeast(workload, tasks.stream().mapToLong(PlannedTask::runNanos).toArray());
  }

  private static double atLeast(Workload workload, long[] work) {
    double longest = 0;
    double total = 0;
    for (long one : work) {
      longest = Math.max(longest, (double) one);
      total += one;
    }
    long roundTrip = 2 * Workload.CALLER_LATENCY.plus(Workload.UPSTREAM_LATENCY).toNanos();
    return Math.max(longest / workload.fastest(), total / workload.capacity()) + roundTrip;
  }
}

package org.lovagerack.benchmarks;

import java.util.List;

/**
 * A sampled job.
 *
 * @param kind request kind
 * @param sentNanos time at which the caller sends it
 * @param entryVm entry VM that receives it
 * @param deadlineNanos time from receipt until the answer is due
 * @param tasks tasks of the job
 * @param cancelNanos time at which the caller cancels it, or {@link #NOT_CANCELLED}
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
   * Returns a lower bound of the response time of any schedule on an idle system, in nanoseconds:
   * the longest task on the fastest upstream or the total work divided by the total capacity,
   * whichever is longer, plus one round trip between caller and upstream.
   */
  double idealNanos(Workload workload) {
    return minResponseNanos(
        workload, tasks.stream().mapToLong(PlannedTask::minWorkNanos).toArray());
  }

  /** Returns the ideal without stragglers; unreachable if a task cannot avoid its straggler. */
  double idealWithoutStragglersNanos(Workload workload) {
    return minResponseNanos(workload, tasks.stream().mapToLong(PlannedTask::runNanos).toArray());
  }

  private static double minResponseNanos(Workload workload, long[] work) {
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

package org.lovagerack.fleet.shard;

/** Decides whether a task is expected to let its job meet its objective. */
final class ObjectiveMargin {

  /** Factor on estimates that are off by 40 %, with which a job meets its objective for certain. */
  private static final double SAFE_FACTOR = 1.4;

  /**
   * Factor on the estimate below which a job is not expected to meet its objective. In trials,
   * factors of 1.0 and 1.4 gained less.
   */
  private static final double EXPECTED_FACTOR = 1.2;

  private ObjectiveMargin() {}

  /** Returns whether the job of a task meets its objective although its estimate may be too low. */
  static boolean safelyMeets(Task task, double speed, long startNanos) {
    return dueNanos(task) - startNanos >= SAFE_FACTOR * remainingNanos(task) / speed;
  }

  /**
   * Returns whether the job of a task is expected to meet its objective.
   *
   * @param speed speed of the worker, relative to the callers' estimates
   * @param startNanos start of the task, monotonic nanoseconds
   */
  static boolean meets(Task task, double speed, long startNanos) {
    return dueNanos(task) - startNanos >= EXPECTED_FACTOR * remainingNanos(task) / speed;
  }

  /**
   * Returns the last time at which a task can start so that its job meets its objective if the
   * estimates are right.
   */
  static long latestStartNanos(Task task) {
    return dueNanos(task) - remainingNanos(task);
  }

  private static long dueNanos(Task task) {
    return task.job().acceptedNanos() + task.job().objective().toNanos();
  }

  private static long remainingNanos(Task task) {
    return task.job().estimatedPathFrom(task.id().step()).toNanos();
  }
}

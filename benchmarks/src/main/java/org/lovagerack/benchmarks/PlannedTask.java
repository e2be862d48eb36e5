package org.lovagerack.benchmarks;

import java.time.Duration;

/**
 * One task as it was drawn.
 *
 * @param key unique key
 * @param repeatable whether it may be started more than once
 * @param runNanos run time on an upstream of the reference speed, without straggling
 * @param declared run time that the caller declares
 * @param stragglerShare share of attempts that straggle
 * @param seed decides which attempts straggle, the same for every policy
 */
record PlannedTask(
    String key,
    boolean repeatable,
    long runNanos,
    Duration declared,
    double stragglerShare,
    long seed) {

  static final double STRAGGLER_FACTOR = 8;

  /** Returns the work of an attempt, in nanoseconds at the reference speed. */
  long workNanos(int attempt) {
    long mixed = Hash.mix(seed + attempt);
    double uniform = (mixed >>> 11) * 0x1.0p-53;
    return uniform < stragglerShare ? (long) (runNanos * STRAGGLER_FACTOR) : runNanos;
  }

  /**
   * Returns the least work that any schedule must do for the task. A repeatable task can be started
   * again when an attempt straggles; a task that may start only once cannot.
   */
  long leastWorkNanos() {
    return repeatable ? runNanos : workNanos(1);
  }
}

package org.lovagerack.benchmarks;

import java.time.Duration;

/**
 * A sampled task.
 *
 * @param key unique key
 * @param repeatable whether it may be started more than once
 * @param runNanos run time on an upstream of the reference speed, without straggling
 * @param declared run time that the caller declares
 * @param stragglerShare probability that an attempt straggles
 * @param seed determines which attempts straggle, independent of the policy
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
   * Returns the minimum work of any schedule for the task, in nanoseconds at the reference speed. A
   * repeatable task can be restarted if an attempt straggles; a non-repeatable one cannot.
   */
  long minWorkNanos() {
    return repeatable ? runNanos : workNanos(1);
  }
}

package org.lovagerack.node;

import java.util.function.LongSupplier;

/** Bounds the volume of the log under load: so many lines a second, and so many at once. */
final class LineBudget {

  /** Lines a second; six per task at 250 tasks a second. */
  private static final double LINES_PER_SECOND = 1500;

  /** Lines at once; four seconds' worth, so that a short burst is logged whole. */
  private static final double MOST_LINES_AT_ONCE = 6000;

  private static final double NANOS_PER_SECOND = 1e9;

  private final LongSupplier nanoTime;
  private final double perSecond;
  private final double mostAtOnce;
  private double available;
  private long updatedNanos;

  /**
   * Creates a budget of which nothing is used.
   *
   * @param nanoTime monotonic time, nanoseconds
   */
  LineBudget(LongSupplier nanoTime, double perSecond, double mostAtOnce) {
    this.nanoTime = nanoTime;
    this.perSecond = perSecond;
    this.mostAtOnce = mostAtOnce;
    this.available = mostAtOnce;
    this.updatedNanos = nanoTime.getAsLong();
  }

  /** Returns the budget of an entry VM. */
  static LineBudget ofProcess(LongSupplier nanoTime) {
    return new LineBudget(nanoTime, LINES_PER_SECOND, MOST_LINES_AT_ONCE);
  }

  /** Takes one line from the budget; returns whether there was one. */
  synchronized boolean take() {
    long now = nanoTime.getAsLong();
    available =
        Math.min(mostAtOnce, available + (now - updatedNanos) / NANOS_PER_SECOND * perSecond);
    updatedNanos = now;
    if (available < 1) {
      return false;
    }
    available--;
    return true;
  }
}

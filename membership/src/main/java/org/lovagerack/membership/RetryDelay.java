package org.lovagerack.membership;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Jittered delays between connection attempts, doubling up to 2 s. */
final class RetryDelay {

  private static final Duration FIRST = Duration.ofMillis(50);
  private static final Duration LAST = Duration.ofSeconds(2);

  private final RandomGenerator random;
  private long limitNanos = FIRST.toNanos();

  RetryDelay(RandomGenerator random) {
    this.random = random;
  }

  void reset() {
    limitNanos = FIRST.toNanos();
  }

  /** Returns a delay between half the current limit and the whole, and doubles the limit. */
  Duration next() {
    long delay = random.nextLong(limitNanos / 2, limitNanos + 1);
    limitNanos = Math.min(2 * limitNanos, LAST.toNanos());
    return Duration.ofNanos(delay);
  }
}

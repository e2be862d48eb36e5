package org.lovagerack.membership;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Jittered backoff between connection attempts, which doubles up to 2 s. */
final class ReconnectBackoff {

  private static final Duration INITIAL = Duration.ofMillis(50);
  private static final Duration MAX = Duration.ofSeconds(2);

  private final RandomGenerator random;
  private long limitNanos = INITIAL.toNanos();

  ReconnectBackoff(RandomGenerator random) {
    this.random = random;
  }

  void reset() {
    limitNanos = INITIAL.toNanos();
  }

  /** Returns a delay between half the current limit and the full limit, then doubles the limit. */
  Duration next() {
    long delay = random.nextLong(limitNanos / 2, limitNanos + 1);
    limitNanos = Math.min(2 * limitNanos, MAX.toNanos());
    return Duration.ofNanos(delay);
  }
}

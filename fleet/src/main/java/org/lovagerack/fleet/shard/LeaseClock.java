package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.function.LongSupplier;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Measures elapsed time, including time during which the VM was suspended and its monotonic clock
 * stopped. A forward step of the wall clock can make the result too large. After a backward step,
 * the result is too small by at most the size of the step.
 */
public final class LeaseClock {

  /**
   * A point in time on both clocks.
   *
   * @param nanos monotonic time, nanoseconds
   * @param wallMillis wall clock time, Unix milliseconds
   */
  public record Timestamp(long nanos, long wallMillis) {}

  private final TimerService timer;
  private final LongSupplier wallMillis;

  /**
   * Creates a clock.
   *
   * @param wallMillis returns the wall clock time in Unix milliseconds
   */
  public LeaseClock(TimerService timer, LongSupplier wallMillis) {
    this.timer = timer;
    this.wallMillis = wallMillis;
  }

  /** Returns the current time on both clocks. */
  public Timestamp now() {
    return new Timestamp(timer.nanoTime(), wallMillis.getAsLong());
  }

  /** Returns the longer of the durations that the two clocks measured since {@code start}. */
  public Duration since(Timestamp start) {
    Duration monotonic = Duration.ofNanos(timer.nanoTime() - start.nanos());
    Duration wall = Duration.ofMillis(wallMillis.getAsLong() - start.wallMillis());
    return monotonic.compareTo(wall) >= 0 ? monotonic : wall;
  }
}

package org.lovagerack.fleet.shard;

import java.time.Duration;
import java.util.function.LongSupplier;
import org.lovagerack.foundation.timer.TimerService;

/**
 * Measures how long ago something happened, also across a suspension of the VM, during which
 * monotonic time stands still. A step of the time of day can make the result too large, never too
 * small by more than the step backwards.
 */
public final class LeaseClock {

  /**
   * A moment.
   *
   * @param nanos monotonic time, nanoseconds
   * @param wallMillis time of day, Unix milliseconds
   */
  public record Moment(long nanos, long wallMillis) {}

  private final TimerService timer;
  private final LongSupplier wallMillis;

  /**
   * Creates a clock.
   *
   * @param wallMillis returns the time of day in Unix milliseconds
   */
  public LeaseClock(TimerService timer, LongSupplier wallMillis) {
    this.timer = timer;
    this.wallMillis = wallMillis;
  }

  /** Returns the present moment. */
  public Moment now() {
    return new Moment(timer.nanoTime(), wallMillis.getAsLong());
  }

  /** Returns the longer of the times that the two clocks measured since a moment. */
  public Duration since(Moment moment) {
    Duration monotonic = Duration.ofNanos(timer.nanoTime() - moment.nanos());
    Duration wall = Duration.ofMillis(wallMillis.getAsLong() - moment.wallMillis());
    return monotonic.compareTo(wall) >= 0 ? monotonic : wall;
  }
}

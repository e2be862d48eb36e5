package org.lovagerack.foundation.timer;

import java.time.Duration;

/**
 * Source of monotonic time and of timer callbacks. Callbacks run on the event loop that owns the
 * subscriber's state, never concurrently with each other.
 */
public interface TimerService {

  /** Returns monotonic time in nanoseconds; only differences between two values are meaningful. */
  long nanoTime();

  /**
   * Runs {@code callback} once, {@code delay} from now. A delay of zero runs it as soon as
   * possible.
   */
  TimerSubscription after(Duration delay, Runnable callback);

  /**
   * Runs {@code callback} every {@code period}, the first time one period from now.
   *
   * @throws IllegalArgumentException if the period is not positive
   */
  TimerSubscription every(Duration period, Runnable callback);
}

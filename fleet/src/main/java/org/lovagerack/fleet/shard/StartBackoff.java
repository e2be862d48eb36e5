package org.lovagerack.fleet.shard;

import java.time.Duration;
import org.lovagerack.fleet.worker.RequestOutcome;
import org.lovagerack.foundation.timer.TimerService;

/** Backoff during which a worker that has rejected a start receives no further starts. */
final class StartBackoff {

  /** Delay after a rejection for lack of resources; about the duration of the shortest tasks. */
  private static final Duration INSUFFICIENT_RESOURCES_DELAY = Duration.ofMillis(40);

  /** Delay after a rejection whose cause the next report shows. */
  private static final Duration NEXT_REPORT_DELAY = Duration.ofMillis(100);

  private static final Duration INITIAL_UNAVAILABLE_DELAY = Duration.ofMillis(250);
  private static final int MAX_DOUBLINGS = 4;

  private final TimerService timer;
  private long untilNanos;
  private int consecutiveUnavailable;

  StartBackoff(TimerService timer) {
    this.timer = timer;
    this.untilNanos = timer.nanoTime();
  }

  boolean hasElapsed() {
    return timer.nanoTime() - untilNanos >= 0;
  }

  /** Resets the backoff after an accepted start. */
  void accepted() {
    consecutiveUnavailable = 0;
  }

  /** Starts the backoff after a rejected start. */
  void rejected(RequestOutcome.Reason reason) {
    switch (reason) {
      case NO_ROOM -> delay(INSUFFICIENT_RESOURCES_DELAY);
      case EXPIRED, OTHER_INCARNATION, FENCED -> delay(NEXT_REPORT_DELAY);
      case UNAVAILABLE, MALFORMED -> {
        delay(
            INITIAL_UNAVAILABLE_DELAY.multipliedBy(
                1L << Math.min(consecutiveUnavailable, MAX_DOUBLINGS)));
        consecutiveUnavailable++;
      }
      case SUPERSEDED -> {
        // The run has already ended; the worker accepts other runs.
      }
    }
  }

  private void delay(Duration duration) {
    untilNanos = timer.nanoTime() + duration.toNanos();
  }
}

package org.lovagerack.fleet.shard;

import java.time.Duration;
import org.lovagerack.fleet.worker.OrderOutcome;
import org.lovagerack.foundation.timer.TimerService;

/** How long a worker that rejected a start is offered no other. */
final class StartPause {

  /** After a start without room; about the shortest task. */
  private static final Duration FULL = Duration.ofMillis(40);

  /** After a rejection that the next report explains. */
  private static final Duration UNTIL_REPORT = Duration.ofMillis(100);

  private static final Duration FIRST_UNAVAILABLE = Duration.ofMillis(250);
  private static final int MOST_DOUBLINGS = 4;

  private final TimerService timer;
  private long untilNanos;
  private int unavailable;

  StartPause(TimerService timer) {
    this.timer = timer;
    this.untilNanos = timer.nanoTime();
  }

  boolean isOver() {
    return timer.nanoTime() - untilNanos >= 0;
  }

  /** The worker took a start. */
  void accepted() {
    unavailable = 0;
  }

  /** The worker rejected a start. */
  void rejected(OrderOutcome.Reason reason) {
    switch (reason) {
      case NO_ROOM -> pause(FULL);
      case EXPIRED, OTHER_INCARNATION, FENCED -> pause(UNTIL_REPORT);
      case UNAVAILABLE, MALFORMED -> {
        pause(FIRST_UNAVAILABLE.multipliedBy(1L << Math.min(unavailable, MOST_DOUBLINGS)));
        unavailable++;
      }
      case SUPERSEDED -> {
        // The run is known to be over; the worker takes others.
      }
    }
  }

  private void pause(Duration length) {
    untilNanos = timer.nanoTime() + length.toNanos();
  }
}

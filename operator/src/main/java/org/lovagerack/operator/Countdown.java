package org.lovagerack.operator;

import java.time.Duration;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;

/** The time that a command may still wait. */
final class Countdown {

  private final WaitClock clock;
  private final long endNanos;

  Countdown(WaitClock clock, Duration limit) {
    this.clock = clock;
    this.endNanos = clock.nanoTime() + limit.toNanos();
  }

  /** Returns the time left, zero if there is none. */
  Duration left() {
    return Duration.ofNanos(Math.max(0, endNanos - clock.nanoTime()));
  }

  boolean over() {
    return left().isZero();
  }

  /**
   * Returns after {@code duration}, or when the time is over if that is earlier.
   *
   * @throws LovagerackException if the thread is interrupted
   */
  void pause(Duration duration) throws LovagerackException {
    try {
      clock.pause(duration.compareTo(left()) < 0 ? duration : left());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new LovagerackException(
          Failure.mayHaveRun(ErrorKind.INTERNAL, "interrupted while waiting"), e);
    }
  }
}

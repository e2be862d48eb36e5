package org.lovagerack.operator;

import java.time.Duration;
import org.lovagerack.foundation.error.ErrorKind;
import org.lovagerack.foundation.error.Failure;
import org.lovagerack.foundation.error.LovagerackException;

/** The point in time until which a command may wait. */
final class Deadline {

  private final WaitClock clock;
  private final long endNanos;

  Deadline(WaitClock clock, Duration limit) {
    this.clock = clock;
    this.endNanos = clock.nanoTime() + limit.toNanos();
  }

  /** Returns the time until the deadline, zero if it has passed. */
  Duration remaining() {
    return Duration.ofNanos(Math.max(0, endNanos - clock.nanoTime()));
  }

  boolean expired() {
    return remaining().isZero();
  }

  /**
   * Sleeps for {@code duration}, or until the deadline if that is earlier.
   *
   * @throws LovagerackException if the thread is interrupted
   */
  void pause(Duration duration) throws LovagerackException {
    try {
      clock.pause(duration.compareTo(remaining()) < 0 ? duration : remaining());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new LovagerackException(
          Failure.mayHaveRun(ErrorKind.INTERNAL, "interrupted while waiting"), e);
    }
  }
}

package org.lovagerack.fleet.shard;

import java.time.Duration;
import org.lovagerack.foundation.timer.TimerService;

/** Computes a lower bound of the current time on a worker's clock. */
final class WorkerClock {

  /** Minimum rate of a worker's clock, which may run 2 % slow. */
  private static final int MIN_RATE_PERCENT = 98;

  private final TimerService timer;
  private long readMillis;
  private long readNanos;

  WorkerClock(TimerService timer) {
    this.timer = timer;
  }

  /** Updates the bound; ignores an earlier time because answers may arrive out of order. */
  void update(long workerMillis) {
    if (workerMillis >= minimumMillis()) {
      readMillis = workerMillis;
      readNanos = timer.nanoTime();
    }
  }

  /** Sets the bound from a worker process that may have restarted since the last reading. */
  void reset(long workerMillis) {
    readMillis = workerMillis;
    readNanos = timer.nanoTime();
  }

  /** Returns the lower bound in milliseconds; 0 before the first reading. */
  long minimumMillis() {
    if (readMillis == 0) {
      return 0;
    }
    long elapsed = Duration.ofNanos(timer.nanoTime() - readNanos).toMillis();
    return readMillis + elapsed * MIN_RATE_PERCENT / 100;
  }
}

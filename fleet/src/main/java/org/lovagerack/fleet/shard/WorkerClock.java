package org.lovagerack.fleet.shard;

import java.time.Duration;
import org.lovagerack.foundation.timer.TimerService;

/** Lower bound of the time that a worker's own clock shows. */
final class WorkerClock {

  /** A worker's clock may be 2 % slow. */
  private static final int SLOWEST_PERCENT = 98;

  private final TimerService timer;
  private long readMillis;
  private long readNanos;

  WorkerClock(TimerService timer) {
    this.timer = timer;
  }

  /** Takes a reading; answers may overtake each other, so an earlier time changes nothing. */
  void read(long workerMillis) {
    if (workerMillis >= reachedMillis()) {
      readMillis = workerMillis;
      readNanos = timer.nanoTime();
    }
  }

  /** Takes the reading of a process that may have started since the last one. */
  void restart(long workerMillis) {
    readMillis = workerMillis;
    readNanos = timer.nanoTime();
  }

  /** Returns a time in milliseconds that the worker's clock has certainly reached. */
  long reachedMillis() {
    if (readMillis == 0) {
      return 0;
    }
    long elapsed = Duration.ofNanos(timer.nanoTime() - readNanos).toMillis();
    return readMillis + elapsed * SLOWEST_PERCENT / 100;
  }
}

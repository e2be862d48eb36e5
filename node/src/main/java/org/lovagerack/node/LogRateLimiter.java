package org.lovagerack.node;

import java.util.function.LongSupplier;

/** Token bucket that limits the log lines per second and in one burst. */
final class LogRateLimiter {

  /** Sustained rate: six lines per task at 250 tasks per second. */
  private static final double LINES_PER_SECOND = 1500;

  /** Maximum burst: four seconds of the sustained rate, enough for a short burst. */
  private static final double BURST_LINES = 6000;

  private static final double NANOS_PER_SECOND = 1e9;

  private final LongSupplier nanoTime;
  private final double linesPerSecond;
  private final double burstLines;
  private double availableLines;
  private long updatedNanos;

  /**
   * Creates a limiter whose full burst is available.
   *
   * @param nanoTime monotonic clock, in nanoseconds
   */
  LogRateLimiter(LongSupplier nanoTime, double linesPerSecond, double burstLines) {
    this.nanoTime = nanoTime;
    this.linesPerSecond = linesPerSecond;
    this.burstLines = burstLines;
    this.availableLines = burstLines;
    this.updatedNanos = nanoTime.getAsLong();
  }

  /** Returns a limiter with the limits of an entry VM. */
  static LogRateLimiter ofEntryVm(LongSupplier nanoTime) {
    return new LogRateLimiter(nanoTime, LINES_PER_SECOND, BURST_LINES);
  }

  /** Returns whether one more line may be written now, and counts it if so. */
  synchronized boolean tryAcquire() {
    long now = nanoTime.getAsLong();
    availableLines =
        Math.min(
            burstLines, availableLines + (now - updatedNanos) / NANOS_PER_SECOND * linesPerSecond);
    updatedNanos = now;
    if (availableLines < 1) {
      return false;
    }
    availableLines--;
    return true;
  }
}

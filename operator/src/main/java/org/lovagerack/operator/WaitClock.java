package org.lovagerack.operator;

import java.time.Duration;

/** Monotonic time and pauses of a command that polls. */
interface WaitClock {

  /** The clock of the machine. */
  WaitClock SYSTEM =
      new WaitClock() {
        @Override
        public long nanoTime() {
          return System.nanoTime();
        }

        @Override
        public void pause(Duration duration) throws InterruptedException {
          Thread.sleep(duration);
        }
      };

  /** Returns monotonic time in nanoseconds. */
  long nanoTime();

  /** Returns after {@code duration}. */
  void pause(Duration duration) throws InterruptedException;
}

package org.lovagerack.operator;

import java.time.Duration;

/** Clock and sleep of commands that poll, replaceable in tests. */
interface WaitClock {

  /** The system clock. */
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

  /** Sleeps for {@code duration}. */
  void pause(Duration duration) throws InterruptedException;
}

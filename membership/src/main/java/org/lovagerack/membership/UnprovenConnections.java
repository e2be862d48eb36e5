package org.lovagerack.membership;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts accepted connections that have not finished the handshake. Thread-safe. */
final class UnprovenConnections {

  private final int limit;
  private final AtomicInteger count = new AtomicInteger();

  UnprovenConnections(int limit) {
    this.limit = limit;
  }

  /** Counts one more; returns whether it is within the limit. Run the result of {@link #slot}. */
  boolean add() {
    return count.incrementAndGet() <= limit;
  }

  /** Returns what to run, possibly several times, when a counted connection is proven or closed. */
  Runnable slot() {
    AtomicBoolean released = new AtomicBoolean();
    return () -> {
      if (released.compareAndSet(false, true)) {
        count.decrementAndGet();
      }
    };
  }
}

package org.lovagerack.membership;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts accepted connections that have not finished the handshake. Thread-safe. */
final class UnauthenticatedConnections {

  private final int limit;
  private final AtomicInteger count = new AtomicInteger();

  UnauthenticatedConnections(int limit) {
    this.limit = limit;
  }

  /**
   * Counts one connection and returns whether the count is within the limit. Must be followed by
   * {@link #releaseAction}.
   */
  boolean add() {
    return count.incrementAndGet() <= limit;
  }

  /**
   * Returns the action to run when a counted connection is authenticated or closed. Running it more
   * than once has no further effect.
   */
  Runnable releaseAction() {
    AtomicBoolean released = new AtomicBoolean();
    return () -> {
      if (released.compareAndSet(false, true)) {
        count.decrementAndGet();
      }
    };
  }
}

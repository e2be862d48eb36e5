package org.lovagerack.eventloop.server;

/** Bytes of memory that the clients of one or several ports may occupy. Used on one event loop. */
public final class MemoryBudget {

  private final long limit;
  private long used;

  /**
   * Creates an unused budget.
   *
   * @throws IllegalArgumentException if the limit is not positive
   */
  public MemoryBudget(long limit) {
    if (limit <= 0) {
      throw new IllegalArgumentException("not a positive number of bytes: " + limit);
    }
    this.limit = limit;
  }

  /** Reserves bytes unless that would exceed the limit; returns whether they were reserved. */
  public boolean tryReserve(long bytes) {
    if (used + bytes > limit) {
      return false;
    }
    used += bytes;
    return true;
  }

  /** Counts bytes that are occupied already, even above the limit. */
  void add(long bytes) {
    used += bytes;
  }

  /** Releases bytes that were reserved or added. */
  public void release(long bytes) {
    used -= bytes;
  }

  /** Returns the occupied bytes. */
  public long used() {
    return used;
  }
}

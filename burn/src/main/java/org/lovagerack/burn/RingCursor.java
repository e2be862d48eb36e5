package org.lovagerack.burn;

import java.time.Duration;
import java.util.function.IntConsumer;

/**
 * Position in a ring buffer that divides a window into slots of equal length. Expired slots are
 * cleared as time passes, so the ring covers the window less at most one slot.
 */
final class RingCursor {

  private final long slotNanos;
  private final int slots;
  private final long originNanos;
  private final IntConsumer clear;
  private long current;

  RingCursor(Duration window, int slots, long originNanos, IntConsumer clear) {
    this.slotNanos = window.toNanos() / slots;
    this.slots = slots;
    this.originNanos = originNanos;
    this.clear = clear;
  }

  /** Clears the expired slots and returns the index of the current one. */
  int position(long nowNanos) {
    long slot = (nowNanos - originNanos) / slotNanos;
    long firstStale = Math.max(current + 1, slot - slots + 1);
    for (long stale = firstStale; stale <= slot; stale++) {
      clear.accept((int) (stale % slots));
    }
    current = Math.max(current, slot);
    return (int) (current % slots);
  }
}

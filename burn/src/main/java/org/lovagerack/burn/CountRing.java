package org.lovagerack.burn;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;

/** Ring buffer that counts jobs by outcome over one window. */
final class CountRing {

  // With 30 slots a window covers between 29/30 of its length and its full length.
  private static final int SLOTS = 30;

  private final Map<BurnOutcome, long[]> slotsByOutcome = new EnumMap<>(BurnOutcome.class);
  private final RingCursor cursor;

  CountRing(BurnWindow window, long originNanos) {
    for (BurnOutcome outcome : BurnOutcome.values()) {
      slotsByOutcome.put(outcome, new long[SLOTS]);
    }
    this.cursor = new RingCursor(window.length(), SLOTS, originNanos, this::clear);
  }

  void add(long nowNanos, BurnOutcome outcome) {
    slotsByOutcome.get(outcome)[cursor.position(nowNanos)]++;
  }

  BurnCounts sum(long nowNanos) {
    cursor.position(nowNanos);
    EnumMap<BurnOutcome, Long> sums = new EnumMap<>(BurnOutcome.class);
    slotsByOutcome.forEach((outcome, slots) -> sums.put(outcome, Arrays.stream(slots).sum()));
    return new BurnCounts(sums);
  }

  private void clear(int slot) {
    slotsByOutcome.values().forEach(slots -> slots[slot] = 0);
  }
}

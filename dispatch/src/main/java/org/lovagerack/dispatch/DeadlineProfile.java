package org.lovagerack.dispatch;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Queued work by the time it is due, in steps that are coarse enough to add up quickly. */
final class DeadlineProfile {

  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final TreeMap<Long, Entry> entries = new TreeMap<>();
  private double total;

  void add(long dueNanos, long deadlineNanos, double work) {
    Entry entry = entries.computeIfAbsent(step(dueNanos), step -> new Entry());
    entry.firstDeadlineNanos = Math.min(entry.firstDeadlineNanos, deadlineNanos);
    entry.tasks++;
    entry.work += work;
    total += work;
  }

  void remove(long dueNanos, double work) {
    long step = step(dueNanos);
    Entry entry = entries.get(step);
    entry.tasks--;
    entry.work -= work;
    total -= work;
    if (entry.tasks == 0) {
      entries.remove(step);
    }
    if (entries.isEmpty()) {
      total = 0;
    }
  }

  double total() {
    return total;
  }

  /** Returns the work that is due no later than a time. */
  double dueBy(long dueNanos) {
    double sum = 0;
    for (Entry entry : entries.headMap(step(dueNanos), true).values()) {
      sum += entry.work;
    }
    return sum;
  }

  /**
   * Returns whether more work that goes first would make later work miss a deadline that it can
   * meet now.
   *
   * @param additional the work that goes before everything due after {@code dueNanos}
   * @param before work that goes before all work of this profile
   * @param capacity units of work finished in a nanosecond
   */
  boolean wouldMissLater(
      long dueNanos, double additional, double before, double capacity, long nowNanos) {
    double sum = before;
    long own = step(dueNanos);
    for (Map.Entry<Long, Entry> entry : entries.entrySet()) {
      sum += entry.getValue().work;
      double possible = (entry.getValue().firstDeadlineNanos - nowNanos) * capacity;
      if (entry.getKey() > own && sum <= possible && sum + additional > possible) {
        return true;
      }
    }
    return false;
  }

  private static long step(long nanos) {
    return Math.floorDiv(nanos, STEP_NANOS);
  }

  private static final class Entry {
    private int tasks;
    private double work;
    private long firstDeadlineNanos = Long.MAX_VALUE;
  }
}

package org.lovagerack.dispatch;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Histogram of queued work by due time, in steps coarse enough for fast summation. */
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

  /** Returns the work that is due no later than the given time, rounded up to a whole step. */
  double dueBy(long dueNanos) {
    double sum = 0;
    for (Entry entry : entries.headMap(step(dueNanos), true).values()) {
      sum += entry.work;
    }
    return sum;
  }

  /**
   * Returns whether additional work would make queued work with a later due time miss a deadline
   * that it would otherwise meet.
   *
   * @param additional work that is inserted before all work due after {@code dueNanos}
   * @param workBefore work that is started before all work of this profile
   * @param capacity units of work finished per nanosecond
   */
  boolean wouldMissDeadline(
      long dueNanos, double additional, double workBefore, double capacity, long nowNanos) {
    double sum = workBefore;
    long ownStep = step(dueNanos);
    for (Map.Entry<Long, Entry> entry : entries.entrySet()) {
      sum += entry.getValue().work;
      double workByDeadline = (entry.getValue().firstDeadlineNanos - nowNanos) * capacity;
      if (entry.getKey() > ownStep && sum <= workByDeadline && sum + additional > workByDeadline) {
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

package org.lovagerack.foundation.timer;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A deterministic timer service whose time advances only when {@link #advance} or {@link
 * #advanceToNext} is called. Callbacks run in order of their due time, and those due at the same
 * time in order of subscription.
 */
public final class DrivenTimer implements TimerService {

  /** Default start, at which a time that was never set differs from the present. */
  private static final Duration DEFAULT_START = Duration.ofDays(1);

  private final PriorityQueue<Entry> entries =
      new PriorityQueue<>(
          Comparator.comparingLong((Entry entry) -> entry.dueNanos)
              .thenComparingLong(entry -> entry.order));
  private long nowNanos;
  private long nextOrder;

  /** Creates a timer whose monotonic time starts far from 0. */
  public DrivenTimer() {
    this(DEFAULT_START);
  }

  /**
   * Creates a timer whose monotonic time starts at the given value, for schedules that count from
   * it.
   */
  public DrivenTimer(Duration start) {
    nowNanos = start.toNanos();
  }

  @Override
  public long nanoTime() {
    return nowNanos;
  }

  @Override
  public TimerSubscription after(Duration delay, Runnable callback) {
    return add(delay, 0, callback);
  }

  @Override
  public TimerSubscription every(Duration period, Runnable callback) {
    if (!period.isPositive()) {
      throw new IllegalArgumentException("timer period is not positive: " + period);
    }
    return add(period, period.toNanos(), callback);
  }

  /** Advances time by {@code duration} and runs every callback that becomes due. */
  public void advance(Duration duration) {
    long targetNanos = nowNanos + duration.toNanos();
    while (!entries.isEmpty() && entries.peek().dueNanos <= targetNanos) {
      runNext();
    }
    nowNanos = targetNanos;
  }

  /** Advances time to the next callback and runs it; returns false if none is pending. */
  public boolean advanceToNext() {
    if (entries.isEmpty()) {
      return false;
    }
    runNext();
    return true;
  }

  /** Returns the number of pending callbacks. */
  public int pending() {
    return entries.size();
  }

  private void runNext() {
    Entry entry = entries.remove();
    nowNanos = Math.max(nowNanos, entry.dueNanos);
    if (entry.periodNanos > 0) {
      entry.dueNanos += entry.periodNanos;
      entry.order = nextOrder++;
      entries.add(entry);
    }
    entry.callback.run();
  }

  private TimerSubscription add(Duration delay, long periodNanos, Runnable callback) {
    Entry entry = new Entry();
    entry.dueNanos = nowNanos + Math.max(0, delay.toNanos());
    entry.order = nextOrder++;
    entry.periodNanos = periodNanos;
    entry.callback = callback;
    entries.add(entry);
    return () -> entries.remove(entry);
  }

  private static final class Entry {
    private long dueNanos;
    private long order;
    private long periodNanos;
    private Runnable callback;
  }
}
